/** Client connections, on which complete requests are read and responses are written. */
package slateslip.dataplane.ingress;
