/**
 * Set-up of the process's log: JBoss Logging over java.util.logging, one line an event; text of
 * metrics.
 */
package slateslip.logging;
