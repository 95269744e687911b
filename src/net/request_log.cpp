#include "net/request_log.hpp"

#include <utility>

#include "net/asio.hpp"

namespace anisewick::net {

bool RequestLog::begin(std::string_view event) {
  const auto now = std::chrono::steady_clock::now();
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    lines_ = 0;
    if (const std::uint32_t n = std::exchange(left_out_, 0); n > 0)
      out_ << "anisewick: request {\"event\":\"left_out\",\"lines\":" << n << "}\n";
  }
  if (lines_ >= kMostLines) {
    ++left_out_;
    return false;
  }
  ++lines_;
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
  out_ << "anisewick: request {\"monotonic_us\":" << us << ",\"event\":\"" << event << '"';
  return true;
}

void RequestLog::end() { out_ << "}" << std::endl; }

void RequestLog::taken(Ticket ticket, ConnectionNumber connection, std::uint16_t id, const Call& call) {
  if (!begin("taken")) return;
  out_ << ",\"ticket\":" << ticket << ",\"connection\":" << connection << ",\"id\":" << id
       << ",\"request\":\"" << call.id << "\",\"class\":\"" << call.profile
       << "\",\"patience_ms\":" << call.patience / 1'000'000;
  end();
}

void RequestLog::answered_by_front(ConnectionNumber connection, std::uint16_t id, std::string_view reason) {
  if (!begin("answered")) return;
  out_ << ",\"connection\":" << connection << ",\"id\":" << id << ",\"reason\":\"" << reason << '"';
  end();
}

void RequestLog::attempt(Ticket ticket, int number, depot::Id depot, std::int64_t left_ms) {
  if (!begin("attempt")) return;
  out_ << ",\"ticket\":" << ticket << ",\"attempt\":" << number << ",\"depot\":\"" << depot::text_of(depot)
       << "\",\"left_ms\":" << left_ms;
  end();
}

void RequestLog::attempt_ended(Ticket ticket, int number, depot::Id depot, std::string_view end_word) {
  if (!begin("attempt_ended")) return;
  out_ << ",\"ticket\":" << ticket << ",\"attempt\":" << number << ",\"depot\":\"" << depot::text_of(depot)
       << "\",\"end\":\"" << end_word << '"';
  end();
}

void RequestLog::answered(Ticket ticket, std::string_view kind, std::string_view reason) {
  if (!begin("answered")) return;
  out_ << ",\"ticket\":" << ticket << ",\"kind\":\"" << kind << "\",\"reason\":\"" << reason << '"';
  end();
}

void RequestLog::left(Ticket ticket, std::string_view reason) {
  if (!begin("left")) return;
  out_ << ",\"ticket\":" << ticket << ",\"reason\":\"" << reason << '"';
  end();
}

void RequestLog::connection(ConnectionNumber number, std::string_view state, std::string_view reason) {
  if (!begin("connection")) return;
  out_ << ",\"connection\":" << number << ",\"state\":\"" << state << "\",\"reason\":\"" << reason << '"';
  end();
}

}  // namespace anisewick::net
