#include "LatencyScore.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace Bergamotramp {

namespace {

constexpr double sampleWeight = 0.2;
// An ejected upstream gets few requests. With this greater weight, two good probes readmit it after a fivefold slowdown.
constexpr double probeWeight = 0.5;
// An attempt cancelled in favour of a hedge (a second attempt) was compared with another upstream, which says more than
// one slow answer.
constexpr double cancelledWeight = 0.4;
constexpr double cancelledRatio = 2.0;
constexpr double ejectScore = 2.5;
// Lower than ejectScore, so that an upstream near the limit does not alternate between the two states.
constexpr double readmitScore = 1.5;
constexpr std::size_t minSamplesToEject = 4;
constexpr double failurePenalty = 3.0;
constexpr double minScore = 0.5;
constexpr double maxScore = 50.0;
// Without new samples a score decays to 1; otherwise an avoided upstream would never be tried again.
constexpr absl::Duration scoreHalfLife = absl::Seconds(10);
constexpr std::size_t ejectableDivisor = 3;

std::optional<double> median(std::vector<double> values)
{
    if (values.empty()) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void LatencyScore::LogAverage::add(absl::Duration value, double weight)
{
    if (value <= absl::ZeroDuration()) {
        return;
    }
    const double observed = std::log(absl::ToDoubleSeconds(value));
    this->logSeconds = this->samples == 0 ? observed : this->logSeconds + weight * (observed - this->logSeconds);
    ++this->samples;
}

void LatencyScore::setUpstreams(const std::vector<std::string> &names)
{
    std::map<std::string, History, std::less<>> kept;
    for (const std::string &name : names) {
        const auto found = this->histories.find(name);
        kept.emplace(name, found == this->histories.end() ? History() : found->second);
    }
    this->histories = std::move(kept);
    this->updateScores();
}

void LatencyScore::record(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now)
{
    History *history = this->find(upstream);
    if (history == nullptr) {
        return;
    }
    const double weight = history->slow || history->crashed ? probeWeight : sampleWeight;
    history->failureShare *= 1.0 - weight;
    history->crashed = false;
    this->add(*history, firstToken, betweenTokens, weight, now);
}

// Without these samples, an upstream whose requests all lose to hedges never shows that it is slow, and attracts
// further requests because its slots are free.
void LatencyScore::recordCancelled(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now)
{
    History *history = this->find(upstream);
    if (history == nullptr) {
        return;
    }
    const auto isSlow = [](absl::Duration value, const std::optional<double> &medianLog) {
        return medianLog.has_value() && value > absl::Seconds(std::exp(*medianLog) * cancelledRatio);
    };
    const absl::Duration slowFirst = isSlow(firstToken, this->firstTokenMedian) ? firstToken : absl::ZeroDuration();
    const absl::Duration slowBetween = isSlow(betweenTokens, this->betweenTokensMedian) ? betweenTokens : absl::ZeroDuration();
    if (slowFirst > absl::ZeroDuration() || slowBetween > absl::ZeroDuration()) {
        this->add(*history, slowFirst, slowBetween, cancelledWeight, now);
    }
}

void LatencyScore::add(History &history, absl::Duration firstToken, absl::Duration betweenTokens, double weight, absl::Time now)
{
    history.firstToken.add(firstToken, weight);
    history.betweenTokens.add(betweenTokens, weight);
    history.lastSample = now;
    ++history.samples;
    this->updateScores();
}

void LatencyScore::recordFailure(std::string_view upstream, absl::Time now)
{
    History *history = this->find(upstream);
    if (history == nullptr) {
        return;
    }
    history->failureShare += sampleWeight * (1.0 - history->failureShare);
    history->lastSample = now;
    ++history->samples;
    this->updateScores();
}

void LatencyScore::recordCrash(std::string_view upstream, absl::Time now)
{
    History *history = this->find(upstream);
    if (history != nullptr) {
        history->crashed = true;
        history->lastSample = now;
    }
}

double LatencyScore::score(std::string_view upstream, absl::Time now) const
{
    const History *history = this->find(upstream);
    if (history == nullptr) {
        return 1.0;
    }
    const double halfLives = std::max(0.0, absl::FDivDuration(now - history->lastSample, scoreHalfLife));
    return 1.0 + (history->score - 1.0) * std::exp2(-halfLives);
}

bool LatencyScore::ejected(std::string_view upstream) const
{
    const History *history = this->find(upstream);
    return history != nullptr && (history->slow || history->crashed);
}

LatencyScore::History *LatencyScore::find(std::string_view upstream)
{
    const auto found = this->histories.find(upstream);
    return found == this->histories.end() ? nullptr : &found->second;
}

const LatencyScore::History *LatencyScore::find(std::string_view upstream) const
{
    const auto found = this->histories.find(upstream);
    return found == this->histories.end() ? nullptr : &found->second;
}

void LatencyScore::updateScores()
{
    std::vector<double> first;
    std::vector<double> between;
    for (const auto &[name, history] : this->histories) {
        if (history.firstToken.samples > 0) {
            first.push_back(history.firstToken.logSeconds);
        }
        if (history.betweenTokens.samples > 0) {
            between.push_back(history.betweenTokens.logSeconds);
        }
    }
    this->firstTokenMedian = median(std::move(first));
    this->betweenTokensMedian = median(std::move(between));
    for (auto &[name, history] : this->histories) {
        std::vector<double> ratios;
        if (this->firstTokenMedian.has_value() && history.firstToken.samples > 0) {
            ratios.push_back(std::exp(history.firstToken.logSeconds - *this->firstTokenMedian));
        }
        if (this->betweenTokensMedian.has_value() && history.betweenTokens.samples > 0) {
            ratios.push_back(std::exp(history.betweenTokens.logSeconds - *this->betweenTokensMedian));
        }
        const double ratio = ratios.empty() ? 1.0 : *std::max_element(ratios.begin(), ratios.end());
        history.score = std::clamp(ratio * (1.0 + failurePenalty * history.failureShare), minScore, maxScore);
    }
    this->updateEjections();
}

// Ejects at most a third of the pool for slowness, because using a slow majority is better than overloading the
// remaining upstreams.
void LatencyScore::updateEjections()
{
    std::vector<History *> slowHistories;
    for (auto &[name, history] : this->histories) {
        const double limit = history.slow ? readmitScore : ejectScore;
        history.slow = history.samples >= minSamplesToEject && history.score >= limit;
        if (history.slow) {
            slowHistories.push_back(&history);
        }
    }
    std::stable_sort(slowHistories.begin(), slowHistories.end(), [](const History *left, const History *right) { return left->score > right->score; });
    for (std::size_t index = this->histories.size() / ejectableDivisor; index < slowHistories.size(); ++index) {
        slowHistories[index]->slow = false;
    }
}

} // namespace Bergamotramp
