// SIGHUP brings a class more and another effect of one that is there. Trouble: depots reset connections under
// requests that they have begun to work on.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr std::int64_t kBindsMs = 1200;  // after SIGHUP the new rules bind

std::mutex mutex;
std::map<std::string, int>
    begun;  // attempts that may have run, by the request's id, since the new rules bind
std::atomic<bool> binds{false};
int asked = 0;

void handle(Depot& depot, const std::shared_ptr<Peer>& peer, const Fetch& f) {
  const std::string cls = f.fields.at("profile");
  bool cut = false;
  if (cls != "guide-video" && binds) {
    const Lock lock(mutex);
    ++begun[f.id];
    cut = trouble() && begun[f.id] == 1 && asked++ % 3 == 0;
    record.say("%s: runs %s of %s, time %d%s", depot.name().c_str(), f.id.c_str(), cls.c_str(), begun[f.id],
               cut ? ", and its connection is reset" : "");
  }
  sleep_ms(20);
  if (cut) return peer->reset();
  peer->answer(f.id, "DONE", "ver=a,born=" + std::to_string(unix_ms()) + ",remark=hit", "bytes");
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv, 60);
  Depot a(1, 1, 0, handle), b(2, 1, 0, handle), parent(8, 0, 1, handle), source(9, 0, 2, handle);
  Bus bus;
  Config c;
  c.listen = free_port();
  c.bus = bus.port();
  c.depots = {a.listed, b.listed, parent.listed, source.listed};
  c.classes = {{"guide-video", "free", 5000, 400, 0, 2.0, false, 0, true},
               {"slot-page", "free", 2500, 400, 8000, 1.0, false, 0, true}};
  for (Depot* d : {&a, &b, &parent, &source}) d->start();
  bus.list(true, c.depots);
  bus.start();
  const pid_t pid = start_doorman(c);

  Client client(c.listen);
  std::uint64_t n = 0;
  for (int i = 0; i < 6; ++i) {
    ++n;
    if (!client.ask(request(i % 2 == 0 ? "guide-video" : "slot-page", n, mix(60 + n), 2500), 3000).served())
      cannot("the first requests are not served");
  }
  // A class is added, without `aim_stretch`, which may be absent; `slot-page` may not run twice any more.
  c.classes[1].repeat = "single_shot";
  c.classes[1].never_kept = true;
  c.classes[1].fresh_ms = 0;
  c.classes.push_back({"book-slot", "single_shot", 3000, 600, 0, 3.0, true, 0, false});
  c.max_attempts = 6;
  write_file(config_path(), json_of(c));
  ::kill(pid, SIGHUP);
  record.say("SIGHUP: slot-page is single_shot from now on, book-slot is new");
  sleep_ms(kBindsMs + 300);
  binds = true;
  int unanswered = 0, added = 0, unknown = 0;
  for (int i = 0; i < 24; ++i) {
    const std::string cls = i % 4 == 0 ? "book-slot" : "slot-page";
    ++n;
    const Fields fields = request(cls, n, mix(60 + n), 2500);
    const Answer answer = client.ask(fields, 3500);
    record.say("client: %s of %s: status %d", fields[1].second.c_str(), cls.c_str(), answer.status);
    unanswered += answer.whole ? 0 : 1;
    if (cls == "book-slot") ++(answer.status == 404 ? unknown : added);
    sleep_ms(50);
  }
  if (unanswered > 0) cannot("requests without an answer: another matter than this case's");
  int twice = 0;
  for (const auto& [id, times] : begun) {
    if (times < 2) continue;
    ++twice;
    record.say("broken: %s was sent %d times, though it may have run and may not run twice", id.c_str(),
               times);
  }
  record.say("%zu requests ran, %d of them more than once; book-slot was known %d times and unknown %d times",
             begun.size(), twice, added, unknown);
  leave(twice > 0 ? 1 : 0);
}
