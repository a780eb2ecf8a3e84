/** The budget of repeated arrivals at backends, which all data planes share. */
package slateslip.routing.retry;
