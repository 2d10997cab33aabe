"""Break a deployment at random for a while, then check every promise."""

import argparse
import json
import random
import sys
import time

from bendlead_testing.faults import FAULTS
from bendlead_testing.trial import Trial, cluster_for_trials

_FAULT_SECONDS = (0.5, 3.0)
_CALM_SECONDS = 1.0


def main() -> None:
    """Run the soak and print one JSON line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--seed', type=int, default=1)
    asked = parser.parse_args()
    chance = random.Random(asked.seed)
    with cluster_for_trials() as cluster:
        trial = Trial(cluster, asked.seed)
        callers = trial.start_callers()
        until = time.monotonic() + asked.seconds
        while time.monotonic() < until:
            names = chance.sample(sorted(FAULTS), chance.choice((1, 1, 2)))
            sys.stderr.write(f'{" + ".join(names)}\n')
            trial.break_and_heal(names, chance.uniform(*_FAULT_SECONDS))
            time.sleep(_CALM_SECONDS)
        trial.finish(callers)
        sys.stderr.write(f'logs in {cluster.folder}\n')
    sys.stdout.write(f'{json.dumps(vars(trial.outcome))}\n')
    sys.exit(0 if trial.outcome.whole else 1)


if __name__ == '__main__':
    main()
