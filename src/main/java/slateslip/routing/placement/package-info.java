/** Which backend a request goes to: what each keeps of prompts, and how full it is. */
package slateslip.routing.placement;
