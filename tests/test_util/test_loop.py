from __future__ import annotations

import asyncio

from balsamhead.util.loop import make_event_loop


class Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.peer = transport.get_extra_info("peername")

    def data_received(self, data: bytes) -> None:
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(f"{self.peer[1]} ".encode() + data)
        self.transport.close()


async def ask(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    own = writer.get_extra_info("sockname")[1]
    writer.write(b"hello")
    answer = await reader.read()
    writer.close()
    return answer.replace(str(own).encode(), b"own")


def test_many_connections_at_once_are_all_accepted() -> None:
    async def main() -> list[bytes]:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Echo, "127.0.0.1", 0, backlog=200)
        port = server.sockets[0].getsockname()[1]
        answers = await asyncio.gather(*(ask(port) for _ in range(150)))
        server.close()
        await server.wait_closed()
        return list(answers)

    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        assert runner.run(main()) == [b"own hello"] * 150


def test_callbacks_that_never_end_do_not_starve_the_network() -> None:
    async def main() -> bytes:
        loop = asyncio.get_running_loop()
        busy = True

        def spin() -> None:
            if busy:
                loop.call_soon(spin)

        server = await loop.create_server(Echo, "127.0.0.1", 0)
        spin()
        answer = await ask(server.sockets[0].getsockname()[1])
        busy = False
        server.close()
        return answer

    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        assert runner.run(main()) == b"own hello"
