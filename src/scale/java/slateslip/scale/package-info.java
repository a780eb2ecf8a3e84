/**
 * Scale runs of the router fleet: hollow data planes and backends in this process, subscribed over
 * the real protocol to real control plane processes on loopback.
 */
package slateslip.scale;
