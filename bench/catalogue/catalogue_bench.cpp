/// Measures the catalogue at growing numbers of organisations: the time to
/// accept a change, to look a key up, to write and read a checkpoint, to start
/// from one, and the memory that the catalogue takes.

#include <medlarstall/catalogue/catalogue_follower.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/support/digest.hpp>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace {

using namespace medlarstall;
using namespace medlarstall::catalogue;

/// Changes of configuration in a day that the catalogue has to take.
constexpr double changes_a_day = 1700.0;
constexpr double seconds_a_day = 86'400.0;

void print(std::size_t organisations, char const* metric, double value,
           char const* unit)
{
    std::printf("organisations=%zu metric=%s value=%.4g unit=%s\n",
                organisations, metric, value, unit);
}

/// \return processor time used so far, which other programs do not disturb
double processor_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

template<class Action>
double microseconds(unsigned times, Action action)
{
    auto const start = processor_microseconds();
    for (unsigned i = 0; i < times; ++i) {
        action(i);
    }
    return (processor_microseconds() - start) / times;
}

std::size_t allocated()
{
    return mallinfo2().uordblks;
}

organisation make_organisation(std::size_t number)
{
    auto const name = "organisation-" + std::to_string(number);
    return {.name = name,
            .owner = name,
            .limits = {.requests_per_second = 50.0, .concurrency = 32U},
            .classes = {"interactive", "batch"},
            .key_digests = {sha256_hex(name), sha256_hex("old " + name)}};
}

/// A change that sets the share of an organisation; the first makes all.
change make_change(catalogue_state const& state, std::size_t organisations,
                   unsigned number)
{
    change value{.id = to_string(make_uuid_v7(wall_time{}, 1, number)),
                 .author = "root",
                 .author_key_digest = sha256_hex("root")};
    auto entry = make_organisation(number % organisations);
    entry.share = 1.0 + number % 7;
    auto const found = state.entries.organisations.find(entry.name);
    value.edits.push_back({entry_kind::organisation, entry.name,
                           found->second.at, std::move(entry)});
    return value;
}

change make_first_change(std::size_t organisations)
{
    change value{.id = to_string(make_uuid_v7(wall_time{}, 0, 0)),
                 .author_key_digest = sha256_hex("root")};
    operator_key const key{.name = "root",
                           .owner = "consortium",
                           .key_digest = sha256_hex("root"),
                           .consortium = true};
    value.edits.push_back({entry_kind::operator_key, "root", 0, key});
    for (unsigned tier = 0; tier < 7; ++tier) {
        service_class const entry{
            .name = tier == 0 ? "interactive"
                              : (tier == 1 ? "batch"
                                           : "class-" + std::to_string(tier)),
            .owner = "consortium",
            .tier = tier,
            .floor = 0.05};
        value.edits.push_back(
            {entry_kind::service_class, entry.name, 0, entry});
    }
    for (std::size_t i = 0; i < organisations; ++i) {
        auto entry = make_organisation(i);
        auto const name = entry.name;
        value.edits.push_back(
            {entry_kind::organisation, name, 0, std::move(entry)});
    }
    return value;
}

void measure(std::size_t organisations)
{
    constexpr unsigned changes = 100;
    auto const before = allocated();
    catalogue_follower follower{
        {.daemon_id = "bench", .bootstrap_key_digest = sha256_hex("root")}};
    std::uint64_t offset = 0;
    follower.apply(
        log_record{offset++, wall_time{},
                   record_writer{}.write(make_first_change(organisations))});
    static_cast<void>(follower.update_log_bounds(0, offset));
    auto in_force = follower.in_force();
    print(organisations, "memory",
          static_cast<double>(allocated() - before) / 1024.0, "KiB");

    std::size_t record_bytes = 0;
    double apply = 0.0;
    for (unsigned i = 1; i <= changes; ++i) {
        auto const record = record_writer{}.write(
            make_change(follower.state(), organisations, i));
        record_bytes += record.dump().size();
        apply += microseconds(1, [&](unsigned /*round*/) {
            follower.apply(log_record{offset++, wall_time{}, record});
            in_force = follower.in_force();
        });
    }
    apply /= changes;
    print(organisations, "accept_a_change", apply, "us");
    print(organisations, "processor_for_changes",
          apply * changes_a_day / seconds_a_day / 1e4, "percent_of_a_core");
    print(organisations, "change_record",
          static_cast<double>(record_bytes) / changes, "bytes");
    print(organisations, "find_key",
          microseconds(100'000,
                       [&](unsigned i) {
                           auto const key = "organisation-" +
                                            std::to_string(i % organisations);
                           if (in_force->keys.find_organisation(key) ==
                               nullptr) {
                               std::puts("a key is missing");
                           }
                       }),
          "us");
    std::string text;
    print(organisations, "write_checkpoint",
          microseconds(10, [&](unsigned /*i*/) { text = follower.snapshot(); }),
          "us");
    print(organisations, "checkpoint", static_cast<double>(text.size()),
          "bytes");
    print(organisations, "start_from_checkpoint",
          microseconds(10,
                       [&](unsigned /*i*/) {
                           catalogue_follower fresh{{.daemon_id = "fresh"}};
                           if (failed(fresh.install(text))) {
                               std::puts("a checkpoint was refused");
                           }
                           static_cast<void>(fresh.in_force());
                       }),
          "us");
    print(organisations, "catalogue_digest",
          microseconds(10,
                       [&](unsigned /*i*/) {
                           static_cast<void>(
                               catalogue_digest(in_force->entries));
                       }),
          "us");
}

} // namespace

int main()
{
    for (std::size_t const organisations : {10U, 100U, 500U, 1000U, 2500U}) {
        measure(organisations);
    }
    return 0;
}
