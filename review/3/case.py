"""In a drain, a client that reads slowly loses answers that the doorman had taken for written."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand  # noqa: E402

CLIENTS = 4
RATE = 500_000  # bytes a second: the pages' bound is 1 MB
REQUESTS, SIZE = 8, 200_000
DRAIN_AT, AGAIN_AT = 0.4, 2.4  # s after the requests: the operators' call; the client's next request


async def one(site, c, ids, sent):
    client = await stand.Client(site, rate=RATE).connect()

    async def ask(number, before):
        p = stand.params("guide-video", ids(), stand.thing(100 * c + number), 5000, 5000.0)
        site.record("client %d sends request %d, id %s" % (c, number, p["HTTP_X_CALL_ID"]))
        future = await client.send(number, p)
        future.add_done_callback(lambda f: site.record(
            "client %d request %d: %s" % (c, number, f.result() or "NO ANSWER")))
        sent.append((c, number, before, future))
    for n in range(1, REQUESTS + 1):
        await ask(n, True)
    await asyncio.sleep(AGAIN_AT)
    # The connection stays open for all that the client can see: it has not read as far as any end of file.
    if client.why is None:
        await ask(REQUESTS + 1, False)
    await asyncio.wait([f for k, _, _, f in sent if k == c], timeout=4)
    site.record("client %d: its connection ended: %s; %d bytes were read" % (c, client.why, client.received))


async def case(site):
    site.size = SIZE
    await site.start()
    doorman = await site.doorman()
    await site.ready(doorman)
    ids, sent = stand.Ids(), []
    clients = [asyncio.ensure_future(one(site, c, ids, sent)) for c in range(1, CLIENTS + 1)]
    await asyncio.sleep(DRAIN_AT)
    if stand.TROUBLE and await doorman.call("POST", "/_lameduck/on") != 200:
        raise stand.Cannot("the drain was turned down")
    await asyncio.gather(*clients)
    if not doorman.alive:
        return ["the doorman ended"]
    # Only what was sent before the call to drain is judged.
    breaks = ["client %d got no whole answer to request %d, taken before the drain" % (c, n)
              for c, n, before, f in sent if before and (not f.done() or f.result() is None)]
    return breaks


stand.play(case)
