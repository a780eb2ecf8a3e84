/** Retry budgets, which limit the retries that all data planes together send to a service. */
package slateslip.routing.retry;
