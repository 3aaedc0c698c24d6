package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.laburnumarch.internal.platform.standin.OperatorConfig.Queue;
import org.laburnumarch.internal.platform.standin.OperatorConfig.Team;

/** Changes that operators make to the configuration; their ends restore it. */
enum ConfigChange implements SoakEvent {
  /** Adds queues that nobody uses, at times very many. */
  ADD_ROUTES {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      int count = random.nextInt(4) == 0 ? MANY_ROUTES : 1 + random.nextInt(3);
      Queue model = someQueue(fleet, random);
      fleet
          .platform()
          .changeConfig(
              config -> {
                for (int i = 0; i < count; i++) {
                  config = config.with(model.named(UNUSED + i));
                }
                return config;
              });
      return () ->
          fleet
              .platform()
              .changeConfig(config -> config.withoutQueues(name -> name.startsWith(UNUSED)));
    }
  },
  /** Changes what jobs of a queue may take and how urgent they are. */
  CHANGE_QUEUE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Queue queue = someQueue(fleet, random);
      Queue changed =
          new Queue(
              queue.name(),
              queue.pool(),
              random.nextInt(3),
              queue.maxAttempts() + random.nextInt(3),
              1 + 3 * random.nextDouble(),
              random.nextInt(4_000));
      return replace(fleet, changed, queue);
    }
  },
  /** Removes the route of a queue with accepted work and adds it again. */
  DROP_ROUTE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Queue queue = someQueue(fleet, random);
      fleet
          .platform()
          .changeConfig(config -> config.withoutQueues(name -> name.equals(queue.name())));
      return () -> fleet.platform().changeConfig(config -> config.with(queue));
    }
  },
  /** Removes all routes and adds them again one by one. */
  DROP_ALL_ROUTES {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().changeConfig(config -> config.withoutQueues(name -> true));
      List<Queue> queues = new ArrayList<>(fleet.platform().initialConfig().queues());
      Collections.shuffle(queues, random);
      return () ->
          queues.forEach(queue -> fleet.platform().changeConfig(config -> config.with(queue)));
    }
  },
  /** Sends a queue to another pool and back. */
  MOVE_QUEUE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Queue queue = someQueue(fleet, random);
      return replace(fleet, queue.inPool(someQueue(fleet, random).pool()), queue);
    }
  },
  /** Raises or lowers the limit of a team. */
  CHANGE_LIMIT {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Team team = someTeam(fleet, random);
      long cpuMillis =
          random.nextBoolean() ? 2 * team.cpuMillis() : team.cpuMillis() / (2 + random.nextInt(6));
      return replace(fleet, new Team(team.name(), team.keys(), team.weight(), cpuMillis), team);
    }
  },
  /** Changes the weight of a team. */
  CHANGE_WEIGHT {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Team team = someTeam(fleet, random);
      double weight = random.nextInt(3) * team.weight();
      return replace(fleet, new Team(team.name(), team.keys(), weight, team.cpuMillis()), team);
    }
  },
  /** Adds a key to a team, or takes away all that it has. */
  CHANGE_KEYS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Team team = someTeam(fleet, random);
      List<String> keys =
          random.nextBoolean() ? List.of("key" + random.nextInt()) : List.of(team.name(), "other");
      return replace(fleet, new Team(team.name(), keys, team.weight(), team.cpuMillis()), team);
    }
  };

  /** Number of routes that one event adds at most. */
  private static final int MANY_ROUTES = 60;

  /** First part of the names of queues that nobody uses. */
  private static final String UNUSED = "unused-";

  private static Queue someQueue(SoakFleet fleet, Random random) {
    List<Queue> queues = fleet.platform().initialConfig().queues();
    return queues.get(random.nextInt(queues.size()));
  }

  private static Team someTeam(SoakFleet fleet, Random random) {
    List<Team> teams = fleet.platform().initialConfig().teams();
    return teams.get(random.nextInt(teams.size()));
  }

  private static Runnable replace(SoakFleet fleet, Queue changed, Queue initial) {
    fleet.platform().changeConfig(config -> config.with(changed));
    return () -> fleet.platform().changeConfig(config -> config.with(initial));
  }

  private static Runnable replace(SoakFleet fleet, Team changed, Team initial) {
    fleet.platform().changeConfig(config -> config.with(changed));
    return () -> fleet.platform().changeConfig(config -> config.with(initial));
  }
}
