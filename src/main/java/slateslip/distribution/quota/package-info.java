/**
 * Divides the fleet-wide quotas of tenants among data planes. This package holds the allocator and
 * the times that allocators and data planes share.
 */
package slateslip.distribution.quota;
