"""Shows requests through a whole deployment; used by `make demo`."""

import sys
import tempfile
import time

from bench import client
from bench import fleet as fleets

PROMPT_WORDS = 9_000
# Pieces are saved to the stores in the background, after the answer.
SAVE_TIMEOUT_S = 5.0


def main() -> int:
    with tempfile.TemporaryDirectory(prefix="papayalink-demo-") as folder:
        print("starting 2 entries, 4 agents, 2 stores, 3 controls")
        fleet = fleets.start(
            folder, entries=2, engines=3, stores=2, orders=True
        )
        try:
            restored = _show_return(fleet)
            _show_confirmation(fleet)
        finally:
            fleet.proposer.close()
            codes = fleet.deployment.stop_all()
    failed = {name: code for name, code in codes.items() if code}
    print(f"stopped {len(codes)} processes, failed: {failed or 'none'}")
    return 0 if restored and not failed else 1


def _show_return(fleet: fleets.Fleet) -> bool:
    """Returns: whether the last answer used kept cache."""
    prompt = " ".join(f"word{number}" for number in range(PROMPT_WORDS))
    cached_tokens = 0
    for index, entry in enumerate(fleet.entries):
        caller = client.make_caller(entry)
        answer = caller.stream(
            model=fleets.MODEL,
            prompt=prompt,
            max_tokens=4,
            stream_options={"include_usage": True},
        )
        events = answer.events()
        usage = events[-1]["usage"]
        cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        text = "".join(
            choice["text"] for event in events for choice in event["choices"]
        )
        print(
            f"answer {index + 1}: {text!r}, first token after"
            f" {answer.ttft_s * 1000:.1f} ms, {cached_tokens} of"
            f" {usage['prompt_tokens']} prompt tokens from kept cache"
        )
        caller.close()
        _wait_saved(fleet)
        fleet.evict()
        print("evicted the prompt from all engines")
    return cached_tokens > 0


def _wait_saved(fleet: fleets.Fleet) -> None:
    deadline = time.monotonic() + SAVE_TIMEOUT_S
    while time.monotonic() < deadline:
        usages = [
            fleet.deployment.dump(store.name)["usage"]["disk"]
            for store in fleet.document.stores
        ]
        if sum(usage["pieces"] for usage in usages) >= PROMPT_WORDS // 2000:
            return
        time.sleep(0.05)


def _show_confirmation(fleet: fleets.Fleet) -> None:
    for entry in fleet.entries:
        caller = client.make_caller(entry)
        answer = caller.confirm("quote-17", item="prawns", price=1450)
        replayed = answer.headers.get("idempotency-replayed", "false")
        print(
            f"confirmation: {answer.status} {answer.body.decode()}"
            f" replayed={replayed}"
        )
        caller.close()
    print(f"the order service ran {len(fleet.executions())} confirmation")


if __name__ == "__main__":
    sys.exit(main())
