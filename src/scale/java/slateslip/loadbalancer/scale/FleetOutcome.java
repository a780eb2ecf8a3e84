package slateslip.loadbalancer.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * What is judged of an experiment: counts and order, never the clock.
 *
 * @param hollow how many hollow agents there were
 * @param hollowAgree how many of them had discovery's list at the end
 * @param hollowRequests what came to them; negative if none had to
 * @param hollowLost requests without a final answer
 * @param lateSends hollow agents' sends later than the grace after the telling, as told or as made
 * @param emptied how often a hollow agent that had servers had none after a list
 * @param hollowHad how often one of them had a change
 * @param hollowOf how often that would be if each had each change
 * @param real how many real agents there were
 * @param realAgree how many of them had the last version at the end
 * @param realRequests what was sent to them; negative if nothing had to be
 * @param realLost requests that they had taken and ended without a response
 * @param realLate requests that came to backends later than the grace after all real agents were
 *     told
 * @param realDied how many of their processes had ended before they were told to
 * @param changes how many changes discovery told
 * @param killed whether discovery was killed, and how many changes were told after its return
 * @param changesAfter how many of the changes were told after discovery's return
 * @param settingsSent how many versions of the settings were put in force one after the other
 * @param settingsAgree how many agents had the last of them at the end
 * @param settingsOf how many of them should have had it
 */
record FleetOutcome(
    int hollow,
    long hollowAgree,
    long hollowRequests,
    long hollowLost,
    long lateSends,
    long emptied,
    long hollowHad,
    long hollowOf,
    int real,
    long realAgree,
    long realRequests,
    long realLost,
    long realLate,
    long realDied,
    int changes,
    boolean killed,
    int changesAfter,
    int settingsSent,
    long settingsAgree,
    long settingsOf) {

  /** What is not as it has to be, a plain line each; empty if all is well. */
  List<String> complaints() {
    List<String> wrong = new ArrayList<>();
    check(
        wrong,
        hollow == 0 || hollowRequests != 0,
        "no request came to the hollow agents: nothing was shown");
    check(
        wrong,
        real == 0 || realRequests != 0,
        "no request came to the real agents: nothing was shown");
    check(wrong, changes > 0 || settingsSent > 0, "discovery told no change: nothing was shown");
    check(
        wrong,
        hollowAgree == hollow,
        "the last list is at " + hollowAgree + " of " + hollow + " hollow agents");
    check(
        wrong,
        hollowHad == hollowOf,
        "changes were had " + hollowHad + " of " + hollowOf + " times by hollow agents");
    check(
        wrong,
        realAgree == real,
        "the last version is at " + realAgree + " of " + real + " real agents");
    check(wrong, hollowLost == 0, hollowLost + " requests were lost by hollow agents");
    check(wrong, realLost == 0, realLost + " requests were lost by real agents");
    check(
        wrong,
        realLate == 0,
        realLate + " requests came from real agents to servers that have left");
    check(wrong, realDied == 0, realDied + " real agents ended before they were told to");
    check(
        wrong,
        lateSends == 0,
        lateSends + " sends came after the grace of a server that drains or has gone");
    check(wrong, emptied == 0, emptied + " times an agent lost its list");
    check(
        wrong,
        !killed || changesAfter > 0,
        "discovery told no change after its return: nothing was shown");
    check(
        wrong,
        settingsAgree == settingsOf,
        "the last version of the settings is at "
            + settingsAgree
            + " of "
            + settingsOf
            + " agents");
    return wrong;
  }

  private static void check(List<String> wrong, boolean holds, String otherwise) {
    if (!holds) {
      wrong.add(otherwise);
    }
  }
}
