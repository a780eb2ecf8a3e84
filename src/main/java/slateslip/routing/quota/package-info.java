/** Quotas of tenants, which all data planes share: local buckets, and how shares follow demand. */
package slateslip.routing.quota;
