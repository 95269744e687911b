// Logs of our programs: one JSON object a line on standard error, with a level, through spdlog. A kind of
// event is limited in rate; what was left out is said with the next one that is not. Field names are the same
// everywhere: `depot`, `request`, `attempt`, `reason`, `ms`.
#ifndef ANISEWICK_LOGS_LOGS_HPP_
#define ANISEWICK_LOGS_LOGS_HPP_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
}

namespace anisewick::logs {

enum class Level { kDebug, kInfo, kWarn, kError };

class Log {
 public:
  using Value = std::variant<std::int64_t, double, bool, std::string>;
  using Field = std::pair<std::string_view, Value>;

  // `program` goes into every line.
  Log(std::string program, Level least);
  ~Log();
  // `event`: a fixed word. Any thread may call, one at a time.
  void say(Level level, std::string_view event, std::initializer_list<Field> fields = {});

 private:
  struct Bucket {
    std::int64_t second = 0;
    int said = 0;
    std::uint64_t left_out = 0;
  };
  std::string program_;
  std::shared_ptr<spdlog::logger> logger_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

// A text as a JSON string, with its quotes. What is no UTF-8 is written as \u00XX.
std::string quoted(std::string_view text);

}  // namespace anisewick::logs

#endif  // ANISEWICK_LOGS_LOGS_HPP_
