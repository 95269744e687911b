"""An upgrade while the event bus is down: the new process sends to a depot that the doorman knows to drain."""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand  # noqa: E402

OUTAGE_S = 8.0  # "discovery is down for 8 s"
BINDS_MS, SLACK_MS, GRACE_MS = 2000, 50, 250


async def case(site):
    site.verbose = False
    await site.start()
    listener = socket.socket()  # the platform's, inherited by both processes
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    site.port, fd = listener.getsockname()[1], listener.fileno()
    env = {"RELAY_FD": str(fd), "RELAY_LISTEN": "127.0.0.1:%d" % site.port}
    old = await site.doorman(name="old process", extra_env=env, pass_fds=(fd,))
    await site.ready(old)
    ids, going, answers = stand.Ids(), True, {}

    def count(kind):
        answers[kind] = answers.get(kind, 0) + 1

    async def load():  # 50 a second, 25 on each connection
        client, used, k = None, 0, 0
        while going:
            if client is None or client.why is not None or used == 25:
                client, used = await stand.Client(site).connect(), 0
            used, k = used + 1, k + 1
            future = await client.send(used, stand.params("slot-page", ids(), stand.thing(k % 60), 2000, 100.0))
            future.add_done_callback(lambda f: count(f.result().kind if f.result() else "no answer"))
            await asyncio.sleep(0.02)
    task = asyncio.ensure_future(load())
    await asyncio.sleep(1.5)
    box = site.caches()[0]
    box.state = 1  # it drains, and stays up
    site.bus.change([box])
    told = stand.now_ms()
    await asyncio.sleep(3.0)
    heeded = not any(r.at > told + GRACE_MS + SLACK_MS for r in box.heard)
    site.record("the old process heeds it, nothing came to %s later than %d ms after it: %s" % (
        box.name, GRACE_MS + SLACK_MS, heeded))
    down_at = stand.now_ms()
    if stand.TROUBLE:
        await site.bus.stop()
        site.record("the event bus goes down, for %.0f s" % OUTAGE_S)
    await asyncio.sleep(0.5)
    ops = stand.free_ports(1)[0]
    new = await site.doorman(name="new process", extra_env=dict(env, RELAY_OPS="127.0.0.1:%d" % ops), pass_fds=(fd,))
    yes, limit = None, stand.now_ms() + 10_000
    while yes is None and stand.now_ms() < limit:
        await asyncio.sleep(0.1)
        try:
            yes = stand.now_ms() if await new.call("GET", "/_ready", ops) == 200 else None
        except OSError:
            pass
    # One that waits for the bus before its yes keeps the rule.
    if yes is not None:
        await asyncio.sleep(1.0)
        old.signal(signal.SIGTERM)
    await asyncio.sleep(max(0.0, OUTAGE_S - (stand.now_ms() - down_at) / 1000))
    if stand.TROUBLE:
        await site.bus.start()
        site.record("the event bus is up again")
    await asyncio.sleep(2.0)
    going = False
    await task
    await asyncio.sleep(1.0)
    listener.close()
    site.record("answers: %s; asked: %s" % (answers, {d.name: len(d.heard) for d in site.caches()}))
    if not new.alive:
        return ["the new process ended"]
    after = [r for r in box.heard if r.at > told + GRACE_MS + SLACK_MS]
    for r in after:
        site.record("%s was asked %s, %.0f ms after its drain was told%s" % (
            box.name, r.id, r.at - told, "" if yes is None else ", %.0f ms after the yes" % (r.at - yes)))
    # News of the bus binds from 2 s after the yes; until then a send of the new process is excused.
    late = [r for r in after if not heeded or yes is None or r.at > yes + BINDS_MS + SLACK_MS]
    if not late:
        return []
    since = "the new one never said yes" if yes is None else "the first %.0f ms after the new one's yes" % (late[0].at - yes)
    return ["%s was sent %d requests, from %.0f to %.0f ms after its drain was told, and %s" %
            (box.name, len(late), late[0].at - told, late[-1].at - told, since)]


stand.play(case)
