#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Deployment.h"
#include "Hosts.h"
#include "Record.h"

namespace Review {

/** When replicas had or finished an item last. */
class Activity
{
public:
    explicit Activity(const Record &record) : record(record)
    {
    }
    void note()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->last = this->record.seconds();
    }
    [[nodiscard]] double idleSeconds()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->record.seconds() - this->last;
    }

private:
    const Record &record;
    std::mutex mutex;
    double last = 0;
};

/** A caller that submits jobs and reads their results at all hosts in turn. */
class JobWatch
{
public:
    JobWatch(Record &record, const Hosts &hosts, std::string prefix) : record(record), hosts(hosts), prefix(std::move(prefix))
    {
    }

    /** Submits a job at one host; returns whether it was accepted. */
    bool submit(std::size_t host, const std::string &job, int items)
    {
        httplib::Client client("127.0.0.1", this->hosts.host(host).port("entryAddress"));
        client.set_read_timeout(5);
        const httplib::Headers headers{{"Host", virtualHost}, {"X-Request-Id", job}};
        const auto answer = client.Post(this->prefix + job, headers, submission(job, this->prefix, items).dump(), "application/json");
        const std::string status = answer ? std::to_string(answer->status) : "no answer";
        this->record.line("submit " + job + " with " + std::to_string(items) + " items at " + this->hosts.host(host).name + ": " + status);
        if (!answer || answer->status != 202) {
            return false;
        }
        this->jobs[job] = {.items = items, .listed = {}, .next = 0};
        return true;
    }

    /** Reads the new results of all accepted jobs, at the next host. */
    void read()
    {
        const Hosts::Host &host = this->hosts.host(this->turn++ % this->hosts.all().size());
        httplib::Client client("127.0.0.1", host.port("entryAddress"));
        for (auto &[id, job] : this->jobs) {
            const auto answer = client.Get("/bergamotramp/lots/" + id + "?after=" + std::to_string(job.next), {{"Host", virtualHost}});
            if (!answer || answer->status != 200) {
                this->record.line("read " + id + " at " + host.name + ": " + (answer ? std::to_string(answer->status) : "no answer"));
                continue;
            }
            const nlohmann::json page = nlohmann::json::parse(answer->body);
            for (const nlohmann::json &result : page["results"]) {
                job.listed.insert(result["id"].get<std::string>());
                this->record.line("listed " + result["id"].get<std::string>() + " " + result["state"].get<std::string>());
            }
            job.next = page["nextToken"];
        }
    }

    /** Items of accepted jobs that are not listed. */
    [[nodiscard]] int unlisted() const
    {
        int sum = 0;
        for (const auto &[id, job] : this->jobs) {
            sum += job.items - static_cast<int>(job.listed.size());
        }
        return sum;
    }

private:
    struct Job {
        int items = 0;
        std::set<std::string> listed;
        std::size_t next = 0;
    };

    Record &record;
    const Hosts &hosts;
    std::string prefix;
    std::map<std::string, Job> jobs;
    std::size_t turn = 0;
};

} // namespace Review
