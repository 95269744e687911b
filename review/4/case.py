"""Two new large objects: the doorman keeps room for the largest answers on every connection, and passes its memory."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
CONNECTIONS = 320  # clients may hold a third of the descriptors: 341
RPS, HOT_S = 160, 24  # each connection is asked on every 2 s
PAGE, LARGE = 24_000, 240_000  # bytes; the second is the largest that an object may have
EVERY = 19  # one of so many requests is for a large object: 36% of the bytes
LARGE_THINGS = [stand.thing(0x9001), stand.thing(0x9002)]


def memory_mb(pid):
    """What the process itself holds, without the pages of its files."""
    try:
        with open("/proc/%d/status" % pid) as f:
            return next(int(line.split()[1]) / 1024 for line in f if line.startswith("RssAnon"))
    except (OSError, StopIteration):
        return 0.0


async def case(site):
    site.size, site.verbose = PAGE, False
    site.sizes = {t: LARGE for t in LARGE_THINGS}
    await site.start()
    doorman = await site.doorman()
    await site.ready(doorman)
    if memory_mb(doorman.process.pid) == 0.0:
        raise stand.Cannot("the memory of a process cannot be read here")
    loop, ids, sent, asked = asyncio.get_running_loop(), stand.Ids(), [], {PAGE: 0, LARGE: 0}
    clients = [await stand.Client(site).connect() for _ in range(CONNECTIONS)]
    start, top, over_at = loop.time(), 0.0, None
    for k in range(1, RPS * HOT_S + 1):
        await asyncio.sleep(max(0.0, start + k / RPS - loop.time()))
        large = stand.TROUBLE and k % EVERY == 0
        obj = LARGE_THINGS[k % 2] if large else stand.thing(k % 400)
        asked[LARGE if large else PAGE] += 1
        client = clients[k % CONNECTIONS]
        if client.why is not None:
            continue
        number = next(i for i in range(1, 33) if i not in client.open)
        sent.append(await client.send(number, stand.params("guide-video", ids(), obj, 5000, 7700.0 if large else 770.0)))
        if k % (RPS // 2) == 0:
            now = memory_mb(doorman.process.pid)
            top = max(top, now)
            ended = sum(c.why is not None for c in clients)
            site.record("asked %d times, %d of them for a large object; the doorman holds %.1f of %d MB; connections "
                        "that ended: %d" % (k, asked[LARGE], now, LIMITS["memory_mb"], ended))
            if now > LIMITS["memory_mb"] and over_at is None:
                over_at = (k / RPS, now)
    await asyncio.wait(sent, timeout=6)
    kinds = {}
    for f in sent:
        kind = "no answer" if not f.done() or f.result() is None else f.result().kind
        kinds[kind] = kinds.get(kind, 0) + 1
    share = asked[LARGE] * LARGE / (asked[LARGE] * LARGE + asked[PAGE] * PAGE)
    site.record("answers: %s; large objects drew %.0f%% of the bytes" % (kinds, 100 * share))
    if not doorman.alive:
        return ["the doorman ended"]
    if over_at is None:
        return []
    return ["the doorman went over its %d MB after %.1f s, and came to %.1f MB: it is killed for that" %
            (LIMITS["memory_mb"], over_at[0], top)]


stand.play(case, limits=LIMITS)
