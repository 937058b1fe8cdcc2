# If LAGOON_TESTS is off, neither the tests nor their stand-ins are built, and the build needs no file under a `tests`
# folder.
option(LAGOON_TESTS "Build tests, stand-ins and benchmarks" ON)

# lagoon_module(<name> SOURCES … DEPENDS …) declares the static library lagoon_<name>. Modules whose name ends in
# `_testing` are declared only if LAGOON_TESTS is on.
# lagoon_test(<name> SOURCES … DEPENDS … ARGUMENTS … TIMEOUT <seconds>) declares a Boost.Test program and registers
# it with CTest.

function(lagoon_module name)
    if(NOT LAGOON_TESTS AND name MATCHES "_testing$")
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(lagoon_${name} STATIC ${ARG_SOURCES})
    # The program is linked as a library.
    set_target_properties(lagoon_${name} PROPERTIES POSITION_INDEPENDENT_CODE ON)
    target_include_directories(lagoon_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(lagoon_${name} PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(lagoon_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

function(lagoon_test name)
    if(NOT LAGOON_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name} ${ARG_ARGUMENTS})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
