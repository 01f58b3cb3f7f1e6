package org.jaywood.store;

import java.util.List;

/**
 * Changes to the list of VMs.
 *
 * @param version version up to which the page is complete
 * @param vms changed entries
 */
public record VmPage(long version, List<VmRecord> vms) {
}
