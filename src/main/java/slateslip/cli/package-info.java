/** Command line of both programs: start, checks of files, and the operator's commands. */
package slateslip.cli;
