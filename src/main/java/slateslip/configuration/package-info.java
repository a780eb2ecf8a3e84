/** The operator's configuration: data model, parsing, validation, patches and the routing table. */
package slateslip.configuration;
