/** Choice of the backend for a request, by cached prompt prefixes, load, health and zone. */
package slateslip.routing.placement;
