"""Ports of deployments that run beside each other."""

from bench import deployment


def test_runs_beside_each_other_choose_from_blocks_of_their_own():
    """Guards against an address that another run is about to listen on."""
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
