/** Routers that do nothing but place requests, to compare ways of placing. */
package slateslip.experiment.policy;
