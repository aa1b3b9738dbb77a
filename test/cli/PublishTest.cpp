#include <atomic>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "ServiceSpec.h"
#include "TestHost.h"

namespace Bergamotramp {

namespace {

constexpr const char *modelo = R"({"name": "modelo", "upstreams": {"nordeste/recife-a": ["127.0.0.1:9001"]}})";
constexpr const char *vitrine = R"({"name": "vitrine", "kind": "plain"})";

/** A folder of service files, and a host whose published generation 7 contains "modelo" and "antigo". */
class PublishTest : public testing::Test
{
protected:
    PublishTest()
    {
        std::filesystem::create_directories(this->folder / "nested");
        nlohmann::json services = nlohmann::json::array();
        services.push_back(ServiceSpec::parse("modelo", modelo).toJson());
        services.push_back(ServiceSpec::parse("antigo", R"({"name": "antigo"})").toJson());
        this->host.server.Get("/admin/services", [services](const httplib::Request &, httplib::Response &response) {
            response.set_content(nlohmann::json({{"generation", 7}, {"services", services}}).dump(), "application/json");
        });
        this->host.server.Post("/admin/publish", [this](const httplib::Request &request, httplib::Response &response) {
            ++this->publications;
            const nlohmann::json body = nlohmann::json::parse(request.body);
            this->published = body;
            if (body["base_generation"] != 7) {
                response.status = 409;
                response.set_content(R"({"error": {"code": "conflict", "message": "generation is 7", "state": "not_run"}})", "application/json");
                return;
            }
            response.set_content(R"({"generation": 8})", "application/json");
        });
        this->host.start();
    }
    ~PublishTest() override
    {
        std::filesystem::remove_all(this->folder);
    }

    void write(const std::string &name, const std::string &text)
    {
        std::ofstream(this->folder / name) << text;
    }
    CliRun publish(std::vector<std::string> options)
    {
        options.insert(options.begin(), {"publish", this->folder.string(), "--admin", this->host.address()});
        return runCommand(options);
    }

    TestHost host;
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("publish-test-" + this->host.address());
    std::atomic<int> publications{0};
    nlohmann::json published;
};

// Guards against publishing only the valid files of a folder, and against reporting only the first invalid one.
TEST_F(PublishTest, reportsEveryInvalidFileAndPublishesNothing)
{
    this->write("modelo.service.json", modelo);
    this->write("first.service.json", "{");
    this->write("nested/second.service.json", R"({"name": "x", "slots": 1})");
    this->write("nested/copy.service.json", modelo);
    const CliRun run = this->publish({});
    EXPECT_EQ(run.code, 2);
    EXPECT_NE(run.err.find("first.service.json: not valid JSON"), std::string::npos) << run.err;
    EXPECT_NE(run.err.find("second.service.json: slots: unknown key"), std::string::npos) << run.err;
    EXPECT_NE(run.err.find("is already used by"), std::string::npos) << run.err;
    EXPECT_EQ(this->publications, 0);
}

TEST_F(PublishTest, showsChangesAndSendsBaseGeneration)
{
    this->write("modelo.service.json", R"({"name": "modelo", "slotsPerUpstream": 4})");
    this->write("nested/vitrine.service.json", vitrine);
    const CliRun run = this->publish({"--output", "json"});
    ASSERT_EQ(run.code, 0) << run.err;
    const nlohmann::json json = nlohmann::json::parse(run.out);
    EXPECT_EQ(json["added"], nlohmann::json({"vitrine"}));
    EXPECT_EQ(json["removed"], nlohmann::json({"antigo"}));
    EXPECT_EQ(json["changed"], nlohmann::json({"modelo"}));
    EXPECT_EQ(json["generation"], 8);
    EXPECT_EQ(this->published["base_generation"], 7);
    EXPECT_EQ(this->published["services"].size(), 2U);
}

TEST_F(PublishTest, dryRunSendsNothing)
{
    this->write("vitrine.service.json", vitrine);
    const CliRun run = this->publish({"--dry-run"});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_NE(run.out.find("removed modelo"), std::string::npos) << run.out;
    EXPECT_EQ(this->publications, 0);
}

// Guards against an operator who unknowingly overwrites the publication of another one.
TEST_F(PublishTest, showsConflict)
{
    this->write("vitrine.service.json", vitrine);
    const CliRun run = this->publish({"--base", "6"});
    EXPECT_EQ(run.code, 3);
    EXPECT_NE(run.err.find("generation is 7"), std::string::npos) << run.err;
}

TEST_F(PublishTest, unreachableHostHasItsOwnExitCode)
{
    this->write("vitrine.service.json", vitrine);
    const CliRun run = runCommand({"publish", this->folder.string(), "--admin", unreachableAddress(), "--output", "json"});
    EXPECT_EQ(run.code, 4) << run.err;
    EXPECT_EQ(nlohmann::json::parse(run.out)["exit_code"], 4);
}

TEST_F(PublishTest, secondAdminAddressIsTried)
{
    this->write("vitrine.service.json", vitrine);
    // The folder follows the option: an option that took several values would consume the folder as one of them.
    const CliRun run = runCommand({"publish", "--admin", unreachableAddress(), "--admin", this->host.address(), this->folder.string()});
    EXPECT_EQ(run.code, 0) << run.err;
}

} // namespace

} // namespace Bergamotramp
