"""A call that may run once at most runs twice, after a rejection that an engine sends once more."""
import collections
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness"))
from harness import Deployment, Record, Unable, end_on_signal  # noqa: E402

APPS, SLOTS, QUEUE = 5, 6, 1
WORK_S = 0.208
CALLERS = 38  # a few more than there are places
STRETCHES, STRETCH_S, REST_S = 14, 5.0, 1.0
EXTRA_SHARE = 0.03
DISRUPTED = 3  # a share of 0.6 of the engines


def case(record, trouble):
    deployment = Deployment(record, engines=1, apps=APPS, app_options={"slots": SLOTS, "queue": QUEUE, "work_s": WORK_S})
    answers = {}
    try:
        deployment.start()
        deployment.configure()
        deployment.wait_ready()
        time.sleep(3.5)
        end = time.monotonic() + STRETCHES * (STRETCH_S + REST_S)

        def caller(number):
            while time.monotonic() < end:
                request, status = deployment.call(deployment.edges[number % 2])
                answers[request] = status
                if status != 200:
                    time.sleep(0.1)

        threads = [threading.Thread(target=caller, args=(number,)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        for _ in range(STRETCHES):
            time.sleep(REST_S)
            for share, length in ((EXTRA_SHARE, STRETCH_S), (0.0, 0.0)) if trouble else ((0.0, STRETCH_S),):
                for app in deployment.apps[:DISRUPTED]:
                    app.extra_share = share
                time.sleep(length)
        for thread in threads:
            thread.join()
        time.sleep(1)
    finally:
        deployment.stop()
    runs = collections.Counter(request for app in deployment.apps for request, _ in app.runs)
    extras = sum(app.extras for app in deployment.apps)
    if len(runs) < 500:
        raise Unable(f"only {len(runs)} calls were run")
    twice = [request for request, count in runs.items() if count > 1]
    refused = [request for request in runs if answers.get(request) in (408, 421, 429, 503)]
    for request in twice:
        record(f"BROKEN: {request} has run {runs[request]} times; the client was answered {answers.get(request)}")
    for request in refused:
        record(f"BROKEN: {request} has run, and the client was answered {answers[request]}")
    result = (f"{len(answers)} calls, {len(runs)} run, {extras} answers came once more, {len(twice)} calls ran twice, "
              f"{len(refused)} ran and were answered 503")
    record(result)
    print(result)
    return 1 if twice or refused else 0


if __name__ == "__main__":
    end_on_signal()
    try:
        sys.exit(case(Record(HERE), os.environ.get("TROUBLE", "1") != "0"))
    except Unable as reason:
        print(f"the case could not run: {reason}")
        sys.exit(2)
