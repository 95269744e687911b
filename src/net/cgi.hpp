// A client's request and its answer as CGI has them: parameters to a Call, an Answer to the records of a
// response. No I/O.
#ifndef ANISEWICK_NET_CGI_HPP_
#define ANISEWICK_NET_CGI_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "fastcgi/fastcgi.hpp"
#include "net/call.hpp"

namespace anisewick::net {

// Takes the body out of `request`. False where it lacks what it must have or holds what cannot be passed on.
bool call_from(fastcgi::Request& request, Call& call);

// The CGI header block of an answer, with its empty line.
std::string head_of(const Answer& answer);

// Appends a whole response of the request `id`: STDOUT records and END_REQUEST.
void append_response(std::string& out, std::uint16_t id, std::string_view head, std::string_view body);

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_CGI_HPP_
