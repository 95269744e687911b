// Values of the fleet and the generated classes of proto/talk.proto, field by field: for messages, for
// registers and for the state file. No I/O.
#ifndef ANISEWICK_FLEET_TALK_VALUES_HPP_
#define ANISEWICK_FLEET_TALK_VALUES_HPP_

#include "fleet/agreement/register.hpp"
#include "fleet/orders/order.hpp"
#include "talk.pb.h"

namespace anisewick::talk {

void to(const agreement::Ballot& b, wire::Ballot& out);
agreement::Ballot from(const wire::Ballot& b);
void to(const agreement::Voters& v, wire::Voters& out);
agreement::Voters from(const wire::Voters& v);
void to(const orders::CallId& id, wire::CallId& out);
orders::CallId from(const wire::CallId& id);
void to(const orders::Call& c, wire::Call& out);
orders::Call from(const wire::Call& c);
void to(const orders::Entry& e, wire::Entry& out);
// False: there is one with more calls than an entry can have.
bool all_from(const google::protobuf::RepeatedPtrField<wire::Entry>& entries,
              std::vector<orders::Entry>& out);

}  // namespace anisewick::talk

#endif  // ANISEWICK_FLEET_TALK_VALUES_HPP_
