package slateslip.configuration;

import java.util.List;

/**
 * A complete configuration, as parsed from the operator's document.
 *
 * @param version configuration version; each committed version is higher than the previous one
 * @param routes routes in the order of the document
 * @param services services in the order of the document
 * @param limits limits of client connections
 * @param tenants tenants in the order of the document; empty if API keys are not used
 */
public record FleetConfiguration(
    long version,
    List<Route> routes,
    List<Service> services,
    IngressLimits limits,
    List<Tenant> tenants) {}
