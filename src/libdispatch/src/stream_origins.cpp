#include <medlarstall/dispatch/stream_origins.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::dispatch {

namespace {

/// Most streams that one daemon publishes; bounds the size of a record.
constexpr std::size_t max_published_streams = 16000;
/// A release counts as listed for this long after it was last seen in the list.
constexpr std::chrono::seconds listed_lifetime{2};
/// Era of a store that was never restored.
constexpr std::uint64_t first_era = 1;
/// After a restore of the store, running backend servers have written their
/// entries again within about two seconds.
constexpr std::chrono::seconds max_rewrite_time{3};

} // namespace

char const* name_of(origin_evidence evidence)
{
    switch (evidence) {
    case origin_evidence::recorded:
        return "recorded";
    case origin_evidence::only_release:
        return "only_release";
    case origin_evidence::unidentified:
        return "unidentified";
    case origin_evidence::none:
        return "none";
    }
    return "unknown";
}

stream_origins::release_times&
stream_origins::touch(software_release const& release, time_point now)
{
    auto& versions = services_[release.service].versions;
    auto const [position, added] = versions.try_emplace(release.version);
    if (added) {
        ++revision_;
    }
    position->second.seen = now;
    return position->second;
}

void stream_origins::on_era(std::uint64_t era, bool store_answers,
                            time_point now)
{
    if (era_ && era <= *era_) {
        era_settled_ = list_is_settled(now);
        era_seen_at_ = store_answers ? era_seen_at_ : now;
        return;
    }
    revision_ += era_ ? 1 : 0; // Records of an earlier era tell less.
    era_ = era;
    era_seen_at_ = now;
    era_settled_ = era <= first_era;
}

bool stream_origins::list_is_settled(time_point now) const
{
    return era_ && (era_settled_ || now - era_seen_at_ >= max_rewrite_time);
}

void stream_origins::on_history_lost(time_point now)
{
    first_start_ = false;
    history_known_ = false;
    history_starts_ = now;
    for (auto& [name, service] : services_) {
        service.history_known = false;
    }
}

void stream_origins::on_listed(software_release const& release, time_point now)
{
    touch(release, now).listed = now;
}

void stream_origins::on_told(software_release const& release, time_point now)
{
    touch(release, now);
}

bool stream_origins::merge_history(
    std::vector<stream_origin_record> const& records, std::uint64_t era,
    time_point now)
{
    on_era(era, true, now);
    auto const is_confirmed =
        std::ranges::any_of(records, [era](stream_origin_record const& record) {
            return record.is_whole && record.era == era;
        });
    auto const is_whole = era == era_ && (era <= first_era || is_confirmed);
    history_known_ = history_known_ || is_whole;
    era_settled_ = era_settled_ || is_whole;
    for (auto const& record : records) {
        if (record.lifetime) {
            lifetimes_.add_earlier(*record.lifetime, now);
        }
        for (auto const& release : record.releases) {
            touch(release, now);
            auto& service = services_[release.service];
            service.history_known = service.history_known || is_whole;
        }
    }
    merge_streams(records, now);
    return is_whole;
}

void stream_origins::merge_earlier_run(stream_origin_record const& record,
                                       time_point now)
{
    merge_streams({record}, now);
    for (auto const& stream : record.streams) {
        auto const found = streams_.find(stream.id);
        if (found != streams_.end()) {
            found->second.own = true;
        }
    }
    ++revision_;
}

void stream_origins::merge_streams(
    std::vector<stream_origin_record> const& records, time_point now)
{
    for (auto const& record : records) {
        for (auto const& stream : record.streams) {
            if (stream.release < record.releases.size()) {
                streams_.try_emplace(
                    stream.id,
                    known_stream{record.releases[stream.release], now});
            } else if (stream.release == stream_origin_record::no_release) {
                streams_.try_emplace(stream.id, known_stream{{}, now});
            }
        }
    }
}

void stream_origins::on_begun(std::uint64_t id, software_release const& release,
                              time_point now)
{
    auto const [position, added] =
        streams_.try_emplace(id, known_stream{release, now});
    auto& stream = position->second;
    stream.touched_at = now;
    auto const published = stream.own && !stream.complete;
    stream.own = true;
    stream.complete = false;
    ++stream.running;
    ++touch(stream.release, now).running;
    if (!published && is_mixed(stream.release.service, now)) {
        ++revision_;
    }
}

void stream_origins::on_unidentified(std::uint64_t id, std::string_view service,
                                     time_point now)
{
    known_stream stream{{std::string{service}, {}}, now};
    stream.own = true;
    if (streams_.try_emplace(id, std::move(stream)).second &&
        is_mixed(service, now)) {
        ++revision_;
    }
}

void stream_origins::set_unidentified(std::string const& daemon,
                                      std::vector<std::uint64_t> const& streams,
                                      time_point now)
{
    if (streams.empty()) {
        unidentified_.erase(daemon);
        return;
    }
    unidentified_[daemon] = {{streams.begin(), streams.end()}, now};
}

void stream_origins::on_ended(std::uint64_t id, bool complete, time_point now)
{
    auto const found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    auto& stream = found->second;
    stream.touched_at = now;
    stream.complete = complete;
    if (stream.running > 0) {
        --stream.running;
        --touch(stream.release, now).running;
    }
}

bool stream_origins::is_old(time_point at, time_point now) const
{
    return now - at > lifetimes_.since(at);
}

bool stream_origins::knows_history(time_point now) const
{
    return first_start_ || history_known_ || is_old(history_starts_, now);
}

bool stream_origins::knows_all_releases(service_releases const& service,
                                        time_point now) const
{
    return first_start_ || service.history_known ||
           is_old(history_starts_, now);
}

stream_origin stream_origins::find(std::optional<std::uint64_t> id,
                                   std::string_view service, bool list_current,
                                   time_point now) const
{
    if (id) {
        auto const stream = streams_.find(*id);
        if (stream != streams_.end()) {
            auto const& release = stream->second.release;
            return {release.version.empty() ? origin_evidence::unidentified
                                            : origin_evidence::recorded,
                    release};
        }
        auto const is_open =
            std::ranges::any_of(unidentified_, [&](auto const& told) {
                return told.second.ids.contains(*id);
            });
        if (is_open) {
            return {};
        }
    }
    auto const found = services_.find(service);
    if (!list_current || found == services_.end() || is_mixed(service, now) ||
        found->second.versions.empty()) {
        return {};
    }
    return {origin_evidence::only_release,
            {found->first, found->second.versions.begin()->first}};
}

bool stream_origins::is_mixed(std::string_view service, time_point now) const
{
    auto const found = services_.find(service);
    return found != services_.end() &&
           (found->second.versions.size() > 1 ||
            !knows_all_releases(found->second, now));
}

std::vector<software_release>
stream_origins::mixed_releases(time_point now) const
{
    std::vector<software_release> releases;
    for (auto const& [name, service] : services_) {
        if (!is_mixed(name, now)) {
            continue;
        }
        for (auto const& [version, times] : service.versions) {
            auto const is_listed = times.listed > now - listed_lifetime;
            if (is_listed || times.running > 0) {
                releases.push_back({name, version});
            }
        }
    }
    return releases;
}

stream_origin_record stream_origins::own_record(time_point now) const
{
    stream_origin_record record;
    record.lifetime = lifetimes_.longest();
    record.era = era_;
    record.is_whole = list_is_settled(now) && knows_history(now);
    std::map<software_release, std::uint32_t> index;
    for (auto const& [name, service] : services_) {
        for (auto const& [version, times] : service.versions) {
            index.emplace(software_release{name, version},
                          static_cast<std::uint32_t>(record.releases.size()));
            record.releases.push_back({name, version});
        }
    }
    for (auto const& [id, stream] : streams_) {
        auto const release = index.find(stream.release);
        auto const unidentified = stream.release.version.empty();
        if (stream.own && !stream.complete &&
            (unidentified || release != index.end()) &&
            record.streams.size() < max_published_streams &&
            is_mixed(stream.release.service, now)) {
            record.streams.push_back({id, unidentified
                                              ? stream_origin_record::no_release
                                              : release->second});
        }
    }
    return record;
}

void stream_origins::expire(time_point now)
{
    revision_ += lifetimes_.expire(now) ? 1 : 0;
    auto const is_whole = list_is_settled(now) && knows_history(now);
    if (std::exchange(published_whole_, is_whole) != is_whole && era_ &&
        *era_ > first_era) {
        ++revision_; // Daemons that start depend on it.
    }
    std::erase_if(streams_, [&](auto const& item) {
        return item.second.running == 0 && is_old(item.second.touched_at, now);
    });
    std::erase_if(unidentified_, [&](auto const& item) {
        return is_old(item.second.told_at, now);
    });
    for (auto& [name, service] : services_) {
        for (auto& [version, times] : service.versions) {
            times.seen = times.running > 0 ? now : times.seen;
        }
        auto const dropped =
            std::erase_if(service.versions, [&](auto const& item) {
                return is_old(item.second.seen, now);
            });
        revision_ += dropped;
    }
}

} // namespace medlarstall::dispatch
