/** The operator's configuration: model, reading and checking, patches, and the routing table. */
package slateslip.configuration;
