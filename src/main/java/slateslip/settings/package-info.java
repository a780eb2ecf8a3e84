/**
 * The settings file of a process: reading, validation and reloading of the file, and typed records
 * of its keys.
 */
package slateslip.settings;
