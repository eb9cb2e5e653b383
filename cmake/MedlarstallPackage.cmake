# Functions that declare the packages of the workspace: a library, its test
# program and its benchmark, each from the sources of one folder.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log log_setup
    unit_test_framework)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(CURL REQUIRED)
find_package(prometheus-cpp REQUIRED)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(pugixml REQUIRED IMPORTED_TARGET pugixml)

add_library(medlarstall_options INTERFACE)
target_compile_options(medlarstall_options INTERFACE
    -Wall -Wextra -Wpedantic -Wno-missing-field-initializers)
if(MEDLARSTALL_WARNINGS_AS_ERRORS)
    target_compile_options(medlarstall_options INTERFACE -Werror)
endif()
target_compile_definitions(medlarstall_options INTERFACE
    BOOST_LOG_DYN_LINK BOOST_ALL_NO_LIB ASIO_STANDALONE
    # Whether Asio sees aligned allocation depends on the headers before it, so
    # that memory of one file would be released in another way by the next.
    ASIO_DISABLE_STD_ALIGNED_ALLOC
    MEDLARSTALL_VERSION="${PROJECT_VERSION}")
if(MEDLARSTALL_SANITIZE)
    list(JOIN MEDLARSTALL_SANITIZE "," sanitizers)
    target_compile_options(medlarstall_options INTERFACE
        -fsanitize=${sanitizers} -fno-omit-frame-pointer
        -fno-sanitize-recover=all)
    target_link_options(medlarstall_options INTERFACE
        -fsanitize=${sanitizers})
endif()
target_link_options(medlarstall_options INTERFACE -fuse-ld=lld)

# medlarstall_library(NAME DEPENDS targets...)
# A library from include/ and src/ of the current folder.
function(medlarstall_library name)
    cmake_parse_arguments(arg "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        set_target_properties(${name} PROPERTIES PREFIX "")
        target_include_directories(${name}
            PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
            PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
        target_link_libraries(${name} PUBLIC medlarstall_options
            ${arg_DEPENDS} PRIVATE ${arg_PRIVATE_DEPENDS})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name}
            INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
        target_link_libraries(${name} INTERFACE medlarstall_options
            ${arg_DEPENDS})
    endif()
endfunction()

# medlarstall_test(LIBRARY DEPENDS targets... APART suites...)
# The test program of a library from the sources of the current folder. It is run
# twice beside itself if suites are named that wait for long: once for these, and
# once for all others.
function(medlarstall_test name)
    cmake_parse_arguments(arg "" "" "DEPENDS;APART" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name}_tests ${sources})
    target_compile_definitions(${name}_tests PRIVATE BOOST_TEST_DYN_LINK
        MEDLARSTALL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${name}_tests PRIVATE ${name} ${arg_DEPENDS}
        rapidcheck Boost::unit_test_framework Threads::Threads)
    set(tests ${name})
    if(arg_APART)
        list(JOIN arg_APART "," apart)
        list(JOIN arg_APART ":!" others)
        add_test(NAME ${name} COMMAND ${name}_tests --run_test=!${others})
        add_test(NAME ${name}_apart COMMAND ${name}_tests --run_test=${apart})
        list(APPEND tests ${name}_apart)
    else()
        add_test(NAME ${name} COMMAND ${name}_tests)
    endif()
    set_tests_properties(${tests} PROPERTIES
        TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# medlarstall_bench(NAME DEPENDS targets...)
# A measuring program from the sources of the current folder.
function(medlarstall_bench name)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} Threads::Threads)
endfunction()
