"""Test the transport with two peers in this process."""

import asyncio

import grpc

from hawthornshelf.messages import Message, PullView, Submit
from hawthornshelf.peers import PeerClient, PeerServer
from hawthornshelf.peertransport import METHOD, GrpcTransport
from tests.partitionproxy import PartitionProxy
from tests.ports import free_port

HANG_SECONDS = 30.0
"""Time after which a test that waits for a message has failed."""


class Peer:
    """Reply to each Submit with a PullView in the next loop iteration."""

    def __init__(self, name: str, group: str = "main") -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.received: list[tuple[str, Message]] = []
        self.others: dict[str, str] = {}
        transport = GrpcTransport()
        self.client = PeerClient(group, name, self.address, self.deliver, transport)
        self.server = PeerServer(group, self.deliver, self.client, transport)
        self.calls = 0

    def deliver(self, sender: str, message: Message) -> None:
        self.received.append((sender, message))
        if isinstance(message, Submit):
            loop = asyncio.get_running_loop()
            loop.call_soon(self.client.send, self.others[sender], PullView(1))

    async def wait_for_messages(self, count: int) -> None:
        while len(self.received) < count:
            await asyncio.sleep(0.01)


def run(scenario, group: str = "main") -> tuple[Peer, Peer]:
    async def main() -> tuple[Peer, Peer]:
        one, other = Peer("one"), Peer("other", group)
        one.others["other"] = other.address
        other.others["one"] = one.address
        await other.server.start(other.address)
        await scenario(one, other)
        await one.client.stop()
        await other.client.stop()
        await other.server.stop()
        return one, other

    return asyncio.run(main())


def test_messages_arrive_in_order() -> None:
    async def scenario(one: Peer, other: Peer) -> None:
        for number in range(300):
            one.client.send(other.address, PullView(number))
        await other.wait_for_messages(300)

    _, other = run(scenario)
    assert [message.revision for _, message in other.received] == list(range(300))


def test_a_message_sent_during_a_call_is_returned_in_the_response() -> None:
    """The first peer does not listen, so only the response can carry the message."""

    async def scenario(one: Peer, other: Peer) -> None:
        one.client.send(other.address, Submit("r", b""))
        await one.wait_for_messages(1)

    one, _ = run(scenario)
    assert one.received == [("other", PullView(1))]


def test_messages_of_another_group_are_ignored() -> None:
    async def scenario(one: Peer, other: Peer) -> None:
        one.client.send(other.address, PullView(1))
        await one.client.drain(2.0)

    _, other = run(scenario, group="another")
    assert other.received == []


def test_an_invalid_envelope_is_refused() -> None:
    async def scenario(one: Peer, other: Peer) -> None:
        async with grpc.aio.insecure_channel(other.address) as channel:
            try:
                await channel.unary_unary(METHOD)(b"\xc1nothing")
            except grpc.aio.AioRpcError as error:
                assert error.code() is grpc.StatusCode.INVALID_ARGUMENT
            else:
                raise AssertionError("the call was accepted")

    _, other = run(scenario)
    assert other.received == []


def test_messages_get_through_after_an_open_connection_has_gone_silent() -> None:
    async def scenario(one: Peer, other: Peer) -> None:
        proxy = PartitionProxy(other.address)
        address = await proxy.start()
        one.client.send(address, PullView(1))
        await other.wait_for_messages(1)
        proxy.silence()
        async with asyncio.timeout(HANG_SECONDS):
            while len(other.received) == 1:
                one.client.send(address, PullView(2))
                await asyncio.sleep(0.05)
        await proxy.stop()

    run(scenario)


def test_answers_get_through_after_an_open_connection_has_gone_silent() -> None:
    """The first peer does not listen, so only the response can carry the answer."""

    async def scenario(one: Peer, other: Peer) -> None:
        proxy = PartitionProxy(other.address)
        address = await proxy.start()
        one.client.send(address, Submit("r1", b""))
        await one.wait_for_messages(1)
        proxy.silence()
        async with asyncio.timeout(HANG_SECONDS):
            while len(one.received) == 1:
                one.client.send(address, Submit("r2", b""))
                await asyncio.sleep(0.05)
        await proxy.stop()

    run(scenario)


def test_a_message_on_a_connection_that_has_gone_silent_is_not_lost() -> None:
    async def scenario(one: Peer, other: Peer) -> None:
        proxy = PartitionProxy(other.address)
        address = await proxy.start()
        one.client.send(address, PullView(1))
        await other.wait_for_messages(1)
        await one.client.drain(HANG_SECONDS)
        proxy.silence()
        one.client.send(address, PullView(2))
        async with asyncio.timeout(HANG_SECONDS):
            await other.wait_for_messages(2)
        await proxy.stop()

    _, other = run(scenario)
    assert [message.revision for _, message in other.received] == [1, 2]
