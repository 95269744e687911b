"""An upgrade while the event bus is down: the new process gives out copies that the doorman knows to be purged."""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand  # noqa: E402

OUTAGE_S = 8.0  # "discovery is down for 8 s"
GRACE_MS, BINDS_MS, SLACK_MS = 1000, 2000, 50
OBJECTS, GROUP = 300, 17
SETTLED_MS = 5800  # so long after a purge the caches and the parent still hold older copies; the pages allow 6 s


async def case(site):
    site.verbose = False
    await site.start()
    listener = socket.socket()  # the platform's, inherited by both processes
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", site.port))
    listener.listen(512)
    fd = listener.fileno()
    env = {"RELAY_FD": str(fd), "RELAY_LISTEN": "127.0.0.1:%d" % site.port}
    old = await site.doorman(name="old process", extra_env=env, pass_fds=(fd,))
    await site.ready(old)
    ids, rate, answers = stand.Ids(), 150, {}

    async def load():  # each object in turn, 25 requests on a connection
        client, used, k = None, 0, 0
        while rate > 0:
            if client is None or client.why is not None or used == 25:
                client, used = await stand.Client(site).connect(), 0
            used, k = used + 1, k + 1
            ident = ids()
            future = await client.send(used, stand.params("guide-video", ident, stand.thing(k % OBJECTS), 5000, 100.0,
                                                          group=GROUP))
            future.add_done_callback(lambda f, i=ident: answers.__setitem__(i, f.result()))
            await asyncio.sleep(1.0 / max(rate, 1))
    task = asyncio.ensure_future(load())
    await asyncio.sleep(6.0)  # each object was asked for three times: the caches hold them
    rate = 40
    for n in range(OBJECTS):
        site.origin.change(stand.thing(n))
    purged = site.bus.purge_group(GROUP)
    told = stand.now_ms()

    async def settle():
        await asyncio.sleep(SETTLED_MS / 1000)
        for depot in site.depots:
            depot.copies = {k: c for k, c in depot.copies.items() if c[1] >= purged}
        site.record("the caches and the parent have dropped what is older than the purge")
    settling = asyncio.ensure_future(settle())
    await asyncio.sleep(0.2)
    down_at = stand.now_ms()
    if stand.TROUBLE:
        await site.bus.stop()
        site.record("the event bus goes down, for %.0f s" % OUTAGE_S)
    await asyncio.sleep(0.1)
    ops = stand.free_ports(1)[0]
    new = await site.doorman(name="new process", extra_env=dict(env, RELAY_OPS="127.0.0.1:%d" % ops), pass_fds=(fd,))
    yes, limit = None, stand.now_ms() + 7_000
    while yes is None and stand.now_ms() < limit:
        await asyncio.sleep(0.1)
        try:
            yes = stand.now_ms() if await new.call("GET", "/_ready", ops) == 200 else None
        except OSError:
            pass
    if yes is not None:  # one that waits for the bus before its yes keeps the rule
        await asyncio.sleep(1.0)
        old.signal(signal.SIGTERM)
    await asyncio.sleep(max(0.0, OUTAGE_S - (stand.now_ms() - down_at) / 1000))
    if stand.TROUBLE:
        await site.bus.start()
        site.record("the event bus is up again")
    await asyncio.sleep(1.0)
    rate = 0
    await task
    await settling
    await asyncio.sleep(1.0)
    listener.close()
    kinds = {}
    for a in answers.values():
        kinds[a.kind if a else "no answer"] = kinds.get(a.kind if a else "no answer", 0) + 1
    site.record("answers: %s" % kinds)
    if not new.alive:
        return ["the new process ended"]
    early = late = 0
    # Before the yes only the old process sends, and from 1 s after the news it is bound. From 2 s after the yes the
    # new one is bound too.
    binds = None if yes is None else yes + BINDS_MS + SLACK_MS
    for depot in site.caches():
        for r in depot.heard:
            if r.copy is None or r.copy[1] >= purged or r.at <= told + GRACE_MS + SLACK_MS:
                continue
            a = answers.get(r.id)
            if a is None or a.kind != "served":
                continue
            bound = yes is None or r.at < yes - 200 or r.at > binds
            early, late = early + (not bound), late + bound
            site.record("%s, sent to %s %.0f ms after the purge was told%s: the client got '%s', a copy %.0f ms older than "
                        "the purge%s" % (r.id, depot.name, r.at - told,
                                         "" if yes is None else " and %.0f ms after the yes" % (r.at - yes),
                                         a.body[:21].decode(), purged - r.copy[1], "" if bound else " (excused)"))
    site.record("answers from purged copies: %d excused, %d not" % (early, late))
    if not late:
        return []
    return ["%d requests were answered from copies older than a purge that the doorman had been told of" % late]


stand.play(case)
