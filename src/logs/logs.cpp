#include "logs/logs.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace anisewick::logs {
namespace {

constexpr int kMostASecond = 10;  // of one kind of event

spdlog::level::level_enum level_of(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarn:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (u < 0x20 || u >= 0x7f) {
      out += fmt::format("\\u{:04x}", u);
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
  return out;
}

Log::Log(std::string program, Level least)
    : program_(std::move(program)),
      logger_(std::make_shared<spdlog::logger>(program_, std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  // The line is JSON as it stands; time and level are put in by spdlog.
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})", spdlog::pattern_time_type::utc);
  logger_->set_level(level_of(least));
  logger_->flush_on(spdlog::level::debug);
}

Log::~Log() = default;

void Log::say(Level level, std::string_view event, std::initializer_list<Field> fields) {
  if (!logger_->should_log(level_of(level))) return;
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count();
  auto it = buckets_.find(event);
  if (it == buckets_.end()) it = buckets_.emplace(event, Bucket{}).first;
  Bucket& bucket = it->second;
  if (bucket.second != second) {
    bucket.second = second;
    bucket.said = 0;
  }
  if (++bucket.said > kMostASecond) {
    ++bucket.left_out;
    return;
  }
  std::string line = fmt::format("\"program\":{},\"event\":{}", quoted(program_), quoted(event));
  for (const auto& [name, value] : fields) {
    line += fmt::format(",{}:", quoted(name));
    if (const auto* text = std::get_if<std::string>(&value)) {
      line += quoted(*text);
    } else if (const auto* number = std::get_if<std::int64_t>(&value)) {
      line += fmt::format("{}", *number);
    } else if (const auto* real = std::get_if<double>(&value)) {
      line += fmt::format("{:.6g}", *real);
    } else {
      line += std::get<bool>(value) ? "true" : "false";
    }
  }
  if (bucket.left_out > 0) line += fmt::format(",\"left_out\":{}", std::exchange(bucket.left_out, 0));
  logger_->log(level_of(level), line);
}

}  // namespace anisewick::logs
