package slateslip.configuration;

import java.util.List;

/**
 * A valid configuration of the operator's, complete.
 *
 * @param version its number; versions rise
 * @param routes in the order given
 * @param services in the order given
 * @param limits of client connections
 * @param tenants in the order given; empty if keys are not in use
 */
public record FleetConfiguration(
    long version,
    List<Route> routes,
    List<Service> services,
    IngressLimits limits,
    List<Tenant> tenants) {}
