#pragma once

namespace lagoon::framework {

/// Makes the process reserve little more address space than it uses. By default, the allocator reserves 64 MB for each
/// of its arenas and the system 8 MB for each thread's stack; where address space is limited to the memory that the
/// process may use, threads and allocations would then fail. Call before any other thread is started.
void limitReservedAddressSpace();

} // namespace lagoon::framework
