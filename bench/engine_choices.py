"""Compares choices of engines on the model of `features/fixtures`.

Prints the 95th percentile of the time to the first event, by load and number of
instances, and the processor time of a choice at 78 engines.
"""

import sys
import time

import defopt

from applespring.core.choice.even import request_seed
from applespring.core.engine_selector import EngineSelector
from applespring.core.engines.answer_lengths import AnswerLength
from applespring.core.engines.learned import LearnedEngines
from applespring.core.engines.stream_cost import StreamCost
from features.fixtures.engine_queues import QueueModel
from features.fixtures.relay import make_upstream

LOADS = (0.6, 0.8, 0.95)
INSTANCES = (1, 7, 62, 195)
CHOICES = ("perfect", "fixed", "learned")
# Times in the model, in seconds: its length, from when requests count, and when
# an engine is slower by which factor.
LENGTH_S, SINCE_S, SLOW = 15.0, 3.0, (6.0, 11.0, 4.0)
TIMED_ENGINES, TIMED_CHOICES = 78, 400
STEP_S, NEWS_INTERVAL_S = 0.003, 0.5


def find_quantiles(
    engines: int, load: float, instances: int, seeds: int
) -> list[float]:
    """Returns the mean 95th percentile in seconds by each of `CHOICES`."""
    return [
        sum(
            QueueModel(choice, instances, engines, load, seed, SLOW)
            .play(LENGTH_S)
            .high_quantile(0.95, SINCE_S)
            for seed in range(1, seeds + 1)
        )
        / seeds
        for choice in CHOICES
    ]


def time_choice(instances: int, *, learned: bool) -> float:
    """Returns the processor time of a choice, in seconds."""
    selector = EngineSelector(LearnedEngines() if learned else None)
    engines = [
        make_upstream(f"e{n:02}", "llm", f"d{n % 3}")
        for n in range(TIMED_ENGINES)
    ]
    cost = StreamCost(
        "llm",
        "r",
        tokens_in=17_000,
        tokens_max=100,
        tokens_hint=0,
        answer=AnswerLength(20.0, 5.0),
        cache_tokens=400_000,
        slots=64,
    )
    now, used_s, news_at, sent = 0.0, 0.0, 0.0, []
    for number in range(TIMED_CHOICES):
        now += STEP_S * instances
        if now >= news_at:
            news_at = now + NEWS_INTERVAL_S
            for sender in range(min(instances - 1, 18)):
                rows = {
                    f"e{(sender * 8 + n) % TIMED_ENGINES:02}": (2, 3000, 0.1, 1)
                    for n in range(8)
                }
                selector.record_peer_loads(f"i{sender}", rows, now)
                if selector.learned is not None:
                    selector.learned.record_peer(f"i{sender}", rows, now)
        subject = f"p{number % 40}"
        started_at = time.process_time()
        chosen = selector.choose(
            engines,
            subject=subject,
            parts=[(subject, 13_300), ("own", 3_000)],
            inputs={"d1": 3e6},
            tokens_per_s=55_000.0,
            now=now,
            cost=cost,
            instances=instances,
            seed=request_seed("i", str(number)),
        )
        used_s += time.process_time() - started_at
        selector.start_request(chosen.name, [subject], 3_000, now)
        stream = None
        if selector.learned is not None:
            stream = selector.learned.start(chosen, 3_000, cost, now)
            selector.learned.record_events(stream, 1, now + 0.08)
            selector.learned.record_events(stream, 5, now + 0.3)
        selector.record_prompt_read(chosen.name, 3_000, now + 0.08)
        sent.append((chosen.name, stream))
        if len(sent) > TIMED_ENGINES // instances:
            name, stream = sent.pop(0)
            selector.end_request(name, now, failed=False)
            if stream is not None:
                selector.learned.end(stream, now, complete=True)
    return used_s / TIMED_CHOICES


def main(*, engines: int = 12, seeds: int = 2) -> None:
    """Prints both tables in Markdown.

    Args:
        engines: Engines of the model.
        seeds: Seeds over which a percentile is averaged.
    """
    lines = [
        "| load | instances | perfect, s | fixed, s | learned, s | "
        "fixed / perfect | learned / perfect |",
        "|---|---|---|---|---|---|---|",
    ]
    for load in LOADS:
        for instances in INSTANCES:
            perfect, fixed, learned = find_quantiles(
                engines, load, instances, seeds
            )
            lines.append(
                f"| {load} | {instances} | {perfect:.3f} | {fixed:.3f} | "
                f"{learned:.3f} | {fixed / perfect:.2f} | "
                f"{learned / perfect:.2f} |"
            )
    lines += [
        "",
        f"| instances | fixed, us at {TIMED_ENGINES} engines | learned, us | "
        "learned / fixed |",
        "|---|---|---|---|",
    ]
    for instances in INSTANCES:
        fixed = time_choice(instances, learned=False)
        learned = time_choice(instances, learned=True)
        lines.append(
            f"| {instances} | {fixed * 1e6:.0f} | {learned * 1e6:.0f} | "
            f"{learned / fixed:.2f} |"
        )
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    defopt.run(main)
