"""Members of a group, within the process of a test."""

import gevent
import geventhttpclient

from papayalink import node_settings
from papayalink.platform import document
from papayalink.platform import operator_api
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.authority import process

KEY = "ab" * 32
TIMEOUT_S = 20


class Member:
    """An authority at a loopback address."""

    def __init__(
        self,
        ip,
        port,
        operator_port,
        folder,
        client,
        first=True,
        seeds=(1, 2, 3),
        losses=1,
        grace_s=8.0,
    ):
        self.ip = ip
        self.operator = (ip, operator_port)
        seeds = tuple(f"127.0.9.{seed}:{operator_port}" for seed in seeds)
        self.settings = node_settings.Authority(
            name=f"a{ip}",
            ip=ip,
            zone="z",
            region="r",
            seeds=seeds,
            peer_port=port,
            platform_address="127.0.0.1:1",
            inspect_listen=f"{ip}:{operator_port + 1}",
            deployment_key=KEY,
            operator_listen=f"{ip}:{operator_port}",
            data_folder=folder and str(folder),
            first_start=first,
            bounds=node_settings.Bounds(losses=losses, grace_s=grace_s),
        )
        self.node = nodes.make_node(self.settings)
        self.process = process.make_process(
            self.node,
            "/nonexistent",
            operator_api.make_application,
            client,
            document.translate,
            lambda store: None,
        )
        self.process.start()

    def call(self, method, path, body=b""):
        client = geventhttpclient.HTTPClient(
            *self.operator, connection_timeout=5, network_timeout=5
        )
        answer = client.request(method, path, body)
        return answer.status_code, bytes(answer.read())

    def put(self, body):
        return self.call("PUT", "/-/config", body)[0]

    def watch(self, **fields):
        return self.node.rpc_client.call(
            f"{self.ip}:{self.settings.peer_port}",
            "Watch",
            messages.Watch("e1", **fields),
        )

    def stop(self):
        """Stop at once, as a second signal does."""
        self.process._stop_now.set()
        self.process.drain()
        self.node.rpc_client.close()
        self.node.timers.stop()


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.02)
