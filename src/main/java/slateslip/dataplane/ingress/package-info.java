/** Client connections: requests are read whole here, and answers written. */
package slateslip.dataplane.ingress;
