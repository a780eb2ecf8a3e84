/** The settings file of a process: reading, checks, and the typed record of its keys. */
package slateslip.settings;
