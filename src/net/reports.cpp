#include "net/reports.hpp"

#include <sys/resource.h>

#include <sstream>
#include <utility>

namespace anisewick::net {
namespace {

constexpr std::pair<const char*, std::uint64_t Counters::*> kCounters[] = {
    {"taken", &Counters::taken}, {"left", &Counters::left},       {"served", &Counters::served},
    {"same", &Counters::same},   {"refused", &Counters::refused}, {"failed", &Counters::failed},
    {"sent", &Counters::sent},   {"links", &Counters::links},     {"late_answers", &Counters::late_answers},
    {"lists", &Counters::lists}, {"purges", &Counters::purges},   {"bus_lost", &Counters::bus_lost},
};

double cpu_ms() {
  rusage used{};
  if (::getrusage(RUSAGE_SELF, &used) != 0) return 0.0;
  const auto ms = [](const timeval& t) { return 1e3 * static_cast<double>(t.tv_sec) + 1e-3 * t.tv_usec; };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

}  // namespace

Reports::Reports(asio::io_context& io, Counters& counters, std::chrono::milliseconds gap, std::ostream& out)
    : counters_(counters), gap_(gap), out_(out), timer_(io) {
  counters_.tallies = &tallies_;
}
Reports::~Reports() { counters_.tallies = nullptr; }

void Reports::wait() {
  timer_.expires_after(gap_);
  timer_.async_wait([this](Error error) {
    if (error) return;
    print();
    wait();
  });
}

void Reports::print() {
  std::ostringstream line;
  line << "{\"unix_ms\":" << unix_now() / 1'000'000;
  const double cpu = cpu_ms();
  line << ",\"cpu_ms\":" << cpu - std::exchange(cpu_ms_, cpu);
  for (const auto& [name, counter] : kCounters) {
    line << ",\"" << name << "\":" << counters_.*counter - last_.*counter;
  }
  line << ",\"given_up\":{";
  const char* comma = "";
  for (const auto& [word, n] : counters_.given_up) {
    if (const auto before = last_.given_up[word]; n > before)
      line << std::exchange(comma, ",") << '"' << word << "\":" << n - before;
  }
  line << "},\"depots\":{";
  comma = "";
  for (const auto& [id, tally] : std::exchange(tallies_.by_depot, {})) {
    line << std::exchange(comma, ",") << '"' << depot::text_of(id) << "\":{";
    const char* inner = "";
    if (const auto d = tallies_.listed.find(id); d != tallies_.listed.end()) {
      line << "\"kind\":" << d->second.kind << ",\"zone\":" << d->second.zone
           << ",\"weight\":" << d->second.weight << ",\"born_ms\":" << d->second.started_ms
           << ",\"state\":" << static_cast<int>(d->second.state);
      inner = ",";
    }
    for (std::size_t i = 0; i < tally.counts.size(); ++i) {
      if (tally.counts[i] == 0) continue;
      line << std::exchange(inner, ",") << '"' << Tally::kWords[i] << "\":" << tally.counts[i];
    }
    line << '}';
  }
  line << "}}";
  last_ = counters_;
  out_ << "anisewick: report " << line.str() << std::endl;
}

}  // namespace anisewick::net
