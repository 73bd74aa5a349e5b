"""Ports of deployments that run at the same time."""

from bench import deployment


def test_concurrent_runs_choose_ports_from_separate_blocks():
    """Guards against a port that another run is about to listen on."""
    blocks = [deployment.make_port_block() for _ in range(8)]
    try:
        chosen = [
            {block.choose() for _ in range(deployment._BLOCK_PORTS)}
            for block in blocks
        ]
        assert len(set.union(*chosen)) == sum(map(len, chosen))
    finally:
        for block in blocks:
            block.close()
