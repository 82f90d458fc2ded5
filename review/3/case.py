"""A turn whose client leaves before it reaches an engine uses up the budget of its program."""
import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness"))
from harness import Deployment, Record, Unable, end_on_signal  # noqa: E402

PROGRAMS = 120
CHUNK_TOKENS, EVENTS = 3, 8
MOST = CHUNK_TOKENS * EVENTS
BUDGET = 2 * MOST
LEAVE_WITHIN_S = 0.002
PAUSE_S = 5.5
TRIES = 3


def case(record, trouble):
    deployment = Deployment(record, engine_options={"events": EVENTS})
    lock = threading.Lock()
    count = {"requests": 0, "wrong": 0, "answered": 0, "left": 0}

    def add(name):
        with lock:
            count[name] += 1

    def program(number):
        name = f"program-{number:03}-{os.getpid()}"
        here, there = deployment.edges[number % 2], deployment.edges[(number + 1) % 2]
        turn = dict(budget=BUDGET, usage=(1030, MOST))
        add("requests")
        first, status, body, whole = deployment.turn(here, name, "line", b"a question" * 50, **turn)
        if status != 200 or not whole:
            return
        given = CHUNK_TOKENS * body.count(b"data:")
        left = None
        if trouble:
            add("requests")
            add("left")
            after = random.uniform(0.0, LEAVE_WITHIN_S)
            left = deployment.turn_left(here, name, "line", b"more" * 50, after, previous=first, **turn)
        time.sleep(PAUSE_S)
        if any(left == request for engine in deployment.engines for request, _ in engine.runs):
            return record(f"{name}: {left} has reached an engine; nothing is judged")
        for _ in range(TRIES):
            add("requests")
            second, status, _, _ = deployment.turn(there, name, "line", b"more" * 50, previous=first, **turn)
            if status != 503:
                break
            time.sleep(0.3)
        add("answered")
        if status == 402 and given + MOST <= BUDGET:
            add("wrong")
            record(f"BROKEN: {second} is answered 402, though the clients of {name} were given {given} of {BUDGET} "
                   f"tokens, a turn takes {MOST} at most, and {left} has reached no engine")

    try:
        deployment.start()
        deployment.configure()
        deployment.wait_ready()
        time.sleep(3.5)  # contact_ms: the machines are in touch
        threads = [threading.Thread(target=program, args=(number,)) for number in range(PROGRAMS)]
        for thread in threads:
            thread.start()
            time.sleep(0.02)
        for thread in threads:
            thread.join()
    finally:
        deployment.stop()
    if count["answered"] < PROGRAMS // 20:
        raise Unable(f"only {count['answered']} programs could be judged")
    allowed = 5 + count["requests"] / 500
    result = (f"{count['requests']} requests, {count['left']} clients left, {count['answered']} programs judged, "
              f"{count['wrong']} proper turns answered 402 (allowed: {allowed:.1f})")
    record(result)
    print(result)
    return 1 if count["wrong"] > allowed else 0


if __name__ == "__main__":
    end_on_signal()
    try:
        sys.exit(case(Record(HERE), os.environ.get("TROUBLE", "1") != "0"))
    except Unable as reason:
        print(f"the case could not run: {reason}")
        sys.exit(2)
