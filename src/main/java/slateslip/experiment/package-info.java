/**
 * Runs the simulations that an experiment file describes and writes the results as a table, as JSON
 * lines and as a plot.
 */
package slateslip.experiment;
