/**
 * A router without quotas, retry budgets and health checks, which serves to compare placement
 * policies in experiments.
 */
package slateslip.experiment.policy;
