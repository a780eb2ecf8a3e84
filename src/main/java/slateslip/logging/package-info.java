/**
 * Configuration and format of the log: JBoss Logging over java.util.logging, one line per record.
 * Also escapes label values of metrics.
 */
package slateslip.logging;
