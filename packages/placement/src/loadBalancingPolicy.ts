/**
 * Load balancing policies, which choose the endpoint of a task. Production uses the policy
 * `stewards`, with one controller per endpoint. The other policies are baselines for experiments.
 * They start tasks on any endpoint of the data centre without knowing its free slots.
 */
import type { Random } from '@celerybarrow/shared';
import type { EndpointState } from './endpointState.js';

export const PolicyNames = {
  STEWARDS: 'stewards',
  RANDOM: 'random',
  ROUND_ROBIN: 'round-robin',
  LEAST_OUTSTANDING: 'least-outstanding',
  TWO_CHOICES: 'two-choices',
} as const;
export type PolicyName = (typeof PolicyNames)[keyof typeof PolicyNames];

export interface LoadBalancingPolicy {
  readonly name: PolicyName;
  /** Whether only the controller of an endpoint starts tasks on it. */
  readonly usesControllers: boolean;
  /** Chooses one of the usable endpoints. Returns undefined if the task should wait. */
  choose(endpoints: readonly EndpointState[]): EndpointState | undefined;
}

/** Chooses the fastest endpoint with a free slot. */
class ControllerPolicy implements LoadBalancingPolicy {
  readonly name = PolicyNames.STEWARDS;
  readonly usesControllers = true;

  choose(endpoints: readonly EndpointState[]): EndpointState | undefined {
    let best: EndpointState | undefined;
    for (const endpoint of endpoints) {
      if (endpoint.freeSlots() <= 0) continue;
      if (best === undefined || endpoint.health.speed() > best.health.speed()) best = endpoint;
    }
    return best;
  }
}

class RandomPolicy implements LoadBalancingPolicy {
  readonly name = PolicyNames.RANDOM;
  readonly usesControllers = false;

  constructor(private readonly random: Random) {}

  choose(endpoints: readonly EndpointState[]): EndpointState | undefined {
    return endpoints[Math.floor(this.random.next() * endpoints.length)];
  }
}

class RoundRobinPolicy implements LoadBalancingPolicy {
  readonly name = PolicyNames.ROUND_ROBIN;
  readonly usesControllers = false;
  private next = 0;

  choose(endpoints: readonly EndpointState[]): EndpointState | undefined {
    this.next += 1;
    return endpoints[this.next % Math.max(1, endpoints.length)];
  }
}

/** Chooses the endpoint with the fewest outstanding tasks per slot. */
class LeastOutstandingPolicy implements LoadBalancingPolicy {
  readonly name = PolicyNames.LEAST_OUTSTANDING;
  readonly usesControllers = false;

  choose(endpoints: readonly EndpointState[]): EndpointState | undefined {
    return endpoints.reduce<EndpointState | undefined>(
      (best, endpoint) =>
        best === undefined || endpoint.utilization() < best.utilization() ? endpoint : best,
      undefined,
    );
  }
}

/** Draws two random endpoints and chooses the one with fewer outstanding tasks per slot. */
class TwoChoicesPolicy implements LoadBalancingPolicy {
  readonly name = PolicyNames.TWO_CHOICES;
  readonly usesControllers = false;

  constructor(private readonly random: Random) {}

  choose(endpoints: readonly EndpointState[]): EndpointState | undefined {
    const first = this.draw(endpoints);
    const second = this.draw(endpoints);
    if (first === undefined || second === undefined) return first;
    return second.utilization() < first.utilization() ? second : first;
  }

  private draw(endpoints: readonly EndpointState[]): EndpointState | undefined {
    return endpoints[Math.floor(this.random.next() * endpoints.length)];
  }
}

export function createLoadBalancingPolicy(name: PolicyName, random: Random): LoadBalancingPolicy {
  switch (name) {
    case PolicyNames.STEWARDS:
      return new ControllerPolicy();
    case PolicyNames.RANDOM:
      return new RandomPolicy(random);
    case PolicyNames.ROUND_ROBIN:
      return new RoundRobinPolicy();
    case PolicyNames.LEAST_OUTSTANDING:
      return new LeastOutstandingPolicy();
    case PolicyNames.TWO_CHOICES:
      return new TwoChoicesPolicy(random);
  }
}
