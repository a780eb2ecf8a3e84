/**
 * Command line of both programs: start of the program, validation of files, and the operator's
 * commands.
 */
package slateslip.cli;
