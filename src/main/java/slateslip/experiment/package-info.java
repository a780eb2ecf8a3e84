/** Experiments: a file says what is played, a table, JSON lines and a plot say what came of it. */
package slateslip.experiment;
