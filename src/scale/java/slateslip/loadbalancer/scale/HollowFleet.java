package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import slateslip.loadbalancer.net.AgentConfig;

/**
 * Hollow agents of one process, spread over its event loops. Its methods wait for those loops and
 * are called from another thread, one at a time.
 */
final class HollowFleet implements AutoCloseable {
  /**
   * What fleet there is to be.
   *
   * @param agents how many
   * @param first the number of the first of them in the whole fleet
   * @param of how many agents the fleet has in all, real ones included
   * @param config what all have in common, in the form of the agent's configuration file; discovery
   *     included
   * @param mode who decides when discovery is asked
   * @param load what each carries
   * @param spreadMs over what time they begin, evenly, as separate starts would
   * @param seed for everything random
   */
  record Plan(
      int agents,
      int first,
      int of,
      ObjectNode config,
      FleetPlan.Mode mode,
      HollowLoad load,
      long spreadMs,
      long seed) {
    /** The configuration of one of them, as the file of a real agent would have it. */
    AgentConfig config(int agent) {
      return config(agent, config);
    }

    /** The same with other common settings. */
    AgentConfig config(int agent, ObjectNode config) {
      ObjectNode own = Json.MAPPER.createObjectNode();
      own.setAll(config);
      own.put("name", "h" + agent).put("seed", Long.toHexString(seedOf(agent)));
      ObjectNode settings = own.putObject("settings");
      settings.setAll((ObjectNode) config.get("settings"));
      settings.put("group-size", of);
      FleetConfig.own(settings, agent, mode);
      return AgentConfig.of(own);
    }

    private long seedOf(int agent) {
      return new SplittableRandom(seed + agent).nextLong();
    }
  }

  private static final long NANOS_PER_MICRO = 1000;

  private final EventLoopGroup group;
  private final ServerGroundTruth truth = new ServerGroundTruth();
  private final ChangeTimes changeTimes;
  private final ChangeTimes settingsTimes;
  private final Plan plan;
  private final List<Member> members = new ArrayList<>();

  /** An agent and its loop; the agent is made there. */
  private static final class Member {
    final EventLoop loop;
    HollowAgent agent;

    Member(EventLoop loop) {
      this.loop = loop;
    }
  }

  /** Starts the agents on so many event loops; they begin as the plan spreads them. */
  HollowFleet(Plan plan, int loops) {
    group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
    this.plan = plan;
    changeTimes = new ChangeTimes(plan.agents());
    settingsTimes = new ChangeTimes(plan.agents());
    for (int i = 0; i < plan.agents(); i++) {
      int number = i;
      Member member = new Member(group.next());
      members.add(member);
      long delay = plan.spreadMs() * i / plan.agents();
      member.loop.schedule(
          () -> {
            member.agent =
                new HollowAgent(
                    member.loop,
                    plan.config(plan.first() + number),
                    truth,
                    plan.load(),
                    () -> System.nanoTime() / NANOS_PER_MICRO,
                    fingerprint -> changeTimes.applied(number, fingerprint, System.nanoTime()));
            member.agent.begin();
          },
          delay,
          TimeUnit.MILLISECONDS);
    }
  }

  /** What the servers are in truth. */
  ServerGroundTruth truth() {
    return truth;
  }

  /** When each agent has each change. */
  ChangeTimes changeTimes() {
    return changeTimes;
  }

  /** When each agent has each version of the settings. */
  ChangeTimes settingsTimes() {
    return settingsTimes;
  }

  /**
   * Gives every agent other settings, at once; each reads and takes them over on its loop.
   *
   * @param number of the version in {@link #settingsTimes}
   */
  void settings(int number, long version, ObjectNode common) {
    settingsTimes.expect(number, version);
    for (int i = 0; i < members.size(); i++) {
      int agent = i;
      Member member = members.get(i);
      member.loop.execute(
          () -> {
            if (member.agent != null
                && member.agent.settings(version, plan.config(plan.first() + agent, common))) {
              settingsTimes.applied(agent, version, System.nanoTime());
            }
          });
    }
  }

  /** What all have counted so far. */
  HollowCounts counts() {
    HollowCounts sum = new HollowCounts();
    sum(
        agent -> {
          synchronized (sum) {
            sum.add(agent.counts());
          }
          return 0;
        });
    return sum;
  }

  /** Requests that are open now. */
  long open() {
    return sum(HollowAgent::open);
  }

  /** How many agents have the list with this fingerprint. */
  long agree(long fingerprint) {
    return sum(agent -> agent.fingerprint() == fingerprint ? 1 : 0);
  }

  /** The sum over all agents that have begun; each is asked on its loop. */
  private long sum(ToLongFunction<HollowAgent> what) {
    long sum = 0;
    List<Future<Long>> requested = new ArrayList<>();
    for (Member each : members) {
      requested.add(each.loop.submit(() -> each.agent == null ? 0L : what.applyAsLong(each.agent)));
    }
    for (var each : requested) {
      sum += each.syncUninterruptibly().getNow();
    }
    return sum;
  }

  @Override
  public void close() {
    sum(
        agent -> {
          agent.close();
          return 0;
        });
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
