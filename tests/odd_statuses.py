"""Answers whose status is none."""

from gevent import server as servers

HEAD = b"Papayalink-Server-Stamp: s\r\nPapayalink-Request-Id: c1\r\n"
STATUSES = (
    b"000",
    b"099",
    b"101",
    b"600",
    b"777",
    b"999",
    b"20",
    b"2000",
    b"0200",
    b"-20",
    b"+200",
    b"2x0",
    b"abc",
    b"",
)
INTERIM = {"alone": b"", "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n"}
_EVENTS = b"id: 1\ndata: p1\n\n"
FRAMINGS = {
    "length": b"Content-Length: 4\r\n\r\npart",
    "connection": b"\r\npart",
    "events": b"Content-Type: text/event-stream\r\n\r\n" + _EVENTS,
    "chunked-events": b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
    % (len(_EVENTS), _EVENTS),
}


def make_answer(status, framing, interim="alone"):
    return b"%sHTTP/1.1 %s No\r\n%s%s" % (
        INTERIM[interim],
        status,
        HEAD,
        FRAMINGS[framing],
    )


class OddServer:
    """Sends the same answer to each request, and ends the connection."""

    def __init__(self, answer):
        self._answer = answer
        self.server = servers.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, address):
        if sock.recv(65536):
            sock.sendall(self._answer)
